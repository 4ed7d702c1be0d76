package discovery

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
)

func TestFullListHasTheAgentsAddresses(t *testing.T) {
	ts := newTestService(t, Config{})
	list := ts.getList(1)
	if list.Seq != 41 || !list.Full || summary(list) != "s-00 ready;s-01 ready;" {
		t.Fatalf("full list: %+v", list)
	}
	if e := list.Endpoints[0]; e.Dial != "127.0.1.0:80" || e.Site != "a" || e.Class != "k" || e.Block != 1 || e.Weight != 1.5 {
		t.Errorf("entry of the full list: %+v", e)
	}
}

// An agent counts as notified of the removal of a server that is missing from its full list.
func TestFullListNotifiesOfRemovedServers(t *testing.T) {
	ts := newTestService(t, Config{})
	ts.ReportHealth(1, endpoints.Removed, 0, false)
	ts.waitForRevision(firstRevision + 1)
	for agent, breaches := range []int{0, 1} { // only the second agent requests a list
		if breaches > 0 {
			ts.getList(agent)
		}
		request := &check.Request{ID: "r" + strconv.Itoa(agent), Agent: agent, Deadline: time.Hour}
		ts.checker.Add(request)
		arrival := ts.env.Clock() + time.Second
		ts.checker.RecordAttempt(request, 1, arrival, arrival, true)
		if _, count := ts.checker.Breaches(); count[check.RuleDrain] != breaches {
			t.Errorf("agent %d: breaches %v, want %d of rule %q", agent, count, breaches, check.RuleDrain)
		}
	}
}

// A watch sends the changes since its revision, and changes within the batch interval in one list.
func TestWatchSendsChanges(t *testing.T) {
	const batchInterval = 100 * ms
	ts := newTestService(t, Config{BatchInterval: batchInterval})
	lists := ts.watch(0, firstRevision)
	if list := nextList(t, lists); list.Full || len(list.Endpoints) != 0 || list.Seq != firstRevision {
		t.Errorf("first list of an up-to-date watch: %+v", list)
	}
	began := time.Now()
	ts.reportTwoChanges()
	sent, sentLists := "", 0
	for list := (endpoints.List{}); list.Seq < firstRevision+2; sentLists++ {
		list = nextList(t, lists)
		if list.Full || len(list.Endpoints) > 0 && list.Endpoints[0].Name == "s-02" && list.Endpoints[0].StartedMs != 77 {
			t.Errorf("list of a change: %+v", list)
		}
		sent += summary(list)
	}
	if took := time.Since(began); took < batchInterval {
		t.Errorf("sent after %v, before the end of the batch interval of %v", took, batchInterval)
	}
	if sent != "s-02 ready;s-01 draining;" || sentLists > 2 {
		t.Errorf("two changes in %d lists: %s", sentLists, sent)
	}
	ts.ReportHealth(1, endpoints.Removed, 0, false)
	if list := nextList(t, lists); summary(list) != "s-01 gone;" {
		t.Errorf("list of a removal: %+v", list)
	}
	if list := ts.List(0, 0, true); summary(list) != "s-00 ready;s-02 ready;" {
		t.Errorf("full list after a removal: %s", summary(list))
	}
}

// reportTwoChanges reports that s-02 has started and, after that is listed, that s-01 drains.
func (ts *testService) reportTwoChanges() {
	ts.t.Helper()
	ts.ReportHealth(2, endpoints.Ready, 77, false)
	ts.waitForRevision(firstRevision + 1)
	ts.ReportHealth(1, endpoints.Draining, 0, false)
}

func TestWatchFromUnknownRevisionStartsWithFullList(t *testing.T) {
	ts := newTestService(t, Config{BatchInterval: 100 * ms})
	ts.reportTwoChanges()
	ts.waitForRevision(firstRevision + 2)
	for name, since := range map[string]int64{"before the history": 3, "in the future": 900} {
		if list := nextList(t, ts.watch(0, since)); !list.Full || summary(list) != "s-00 ready;s-01 draining;s-02 ready;" {
			t.Errorf("%s: %+v", name, list)
		}
	}
	if list := nextList(t, ts.watch(0, firstRevision+1)); list.Full || summary(list) != "s-01 draining;" {
		t.Errorf("list from the previous revision: %+v", list)
	}
}

func TestNewerReportReplacesAnOlderOne(t *testing.T) {
	ts := newTestService(t, Config{RemovalDelay: []time.Duration{300 * ms, 300 * ms}, StartDelay: []time.Duration{10 * ms, 10 * ms}})
	ts.ReportHealth(0, endpoints.Removed, 0, false)
	ts.ReportHealth(0, endpoints.Ready, 5, false)
	lists := ts.watch(0, firstRevision)
	nextList(t, lists)
	if list := nextList(t, lists); summary(list) != "s-00 ready;" || list.Endpoints[0].StartedMs != 5 {
		t.Errorf("list of the newer report: %+v", list)
	}
	select {
	case list := <-lists:
		t.Errorf("the older report was listed after the newer one: %+v", list)
	case <-time.After(500 * ms):
	}
}

func TestDelayDependsOnTheChange(t *testing.T) {
	const never = time.Hour
	short, long := []time.Duration{0, 10 * ms}, []time.Duration{never, never}
	for name, change := range map[string]struct {
		config   Config
		health   string
		isolated bool
	}{
		"start":     {Config{StartDelay: short, RemovalDelay: long, SilentRemovalDelay: long}, endpoints.Ready, false},
		"drain":     {Config{StartDelay: long, RemovalDelay: short, SilentRemovalDelay: long}, endpoints.Draining, false},
		"end":       {Config{StartDelay: long, RemovalDelay: short, SilentRemovalDelay: long}, endpoints.Removed, false},
		"isolation": {Config{StartDelay: long, RemovalDelay: long, SilentRemovalDelay: short}, endpoints.Removed, true},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestService(t, change.config)
			ts.ReportHealth(0, change.health, 5, change.isolated)
			ts.waitForRevision(firstRevision + 1)
		})
	}
}

// An outage ends watches and refuses calls. After the outage the service has the same address as before.
func TestOutageEndsWatchesAndRefusesCalls(t *testing.T) {
	ts := newTestService(t, Config{})
	lists := ts.watch(0, firstRevision)
	nextList(t, lists)
	addr, began := ts.Addr(0), time.Now()
	ts.StartOutage()
	if _, open := <-lists; open || time.Since(began) > testTimeout/2 {
		t.Error("a watch continues during the outage")
	}
	if resp, err := ts.get(t.Context(), 0, ""); err == nil {
		resp.Body.Close()
		t.Errorf("response during the outage: %s", resp.Status)
	}
	if err := ts.EndOutage(); err != nil {
		t.Fatal(err)
	}
	nextList(t, ts.watch(0, firstRevision))
	if ts.Addr(0) != addr {
		t.Errorf("address %s after the outage, want %s", ts.Addr(0), addr)
	}
}

// After a move the previous address refuses new connections, and its open connections are closed later. The
// test begins with an outage, so that the moved listener is one that was reopened.
func TestMoveGivesAnAgentANewAddress(t *testing.T) {
	ts := newTestService(t, Config{})
	ts.StartOutage()
	if err := ts.EndOutage(); err != nil {
		t.Fatal(err)
	}
	lists := ts.watch(0, firstRevision)
	nextList(t, lists)
	previous := ts.Addr(0)
	addr, err := ts.MoveAddress(0)
	if err != nil || addr == previous || ts.Addr(0) != addr {
		t.Fatalf("moved from %s to %s: %v", previous, addr, err)
	}
	if resp, err := http.Get("http://" + previous + "/v1/endpoints"); err == nil {
		resp.Body.Close()
		t.Error("the previous address accepts new calls")
	}
	nextList(t, ts.watch(0, firstRevision))
	if _, open := <-lists; open {
		t.Error("a watch at the previous address stays open")
	}
}

// The service handles a limited number of calls at the same time, and calls that would wait longer than the
// timeout fail.
func TestOverloadedServiceFailsCalls(t *testing.T) {
	ts := newTestService(t, Config{MaxConcurrentCalls: 1, ServiceTime: 300 * ms, QueueTimeout: 400 * ms})
	const callers = 6
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			resp, err := ts.get(t.Context(), 0, "")
			if err != nil {
				statuses <- 0
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range callers {
		count[<-statuses]++
	}
	if count[200] < 1 || count[200] > 3 || count[503] != callers-count[200] {
		t.Errorf("statuses %v: with 300 ms a call and a timeout of 400 ms one to three calls succeed", count)
	}
	if ts.FailedCalls.Load() != int64(count[503]) {
		t.Errorf("%d calls counted as failed, want %d", ts.FailedCalls.Load(), count[503])
	}
}
