package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// fsmFixture is a state machine and a hub without raft.
type fsmFixture struct {
	*fsm
	broadcaster *watchBroadcaster
	index       uint64
}

func newFSMFixture(t *testing.T) *fsmFixture {
	st := &fsmFixture{fsm: &fsm{state: catalog.New(), onFatal: func(err error) { t.Error(err) }}}
	st.broadcaster = newWatchBroadcaster(st.fsm, 5*time.Millisecond)
	st.onChange = st.broadcaster.notifyChanged
	return st
}

func (st *fsmFixture) apply(t *testing.T, c catalog.Command) catalog.Result {
	t.Helper()
	c.FormatVersion = catalog.FormatVersion
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	st.index++
	return st.Apply(&raft.Log{Index: st.index, Data: text}).(catalog.Result)
}

func (st *fsmFixture) register(t *testing.T, name string, born float64) {
	t.Helper()
	h := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: born}
	if r := st.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &h}); r.Code != catalog.Done {
		t.Fatalf("%+v", r)
	}
}

// watchReader takes what a watch writes, and can be slow.
type watchReader struct {
	mu       sync.Mutex
	lines    []string
	blocked  chan struct{} // while it is open, writes wait
	servers  map[string]float64
	revision int64
}

func newReader() *watchReader { return &watchReader{servers: map[string]float64{}} }

func (r *watchReader) Header() http.Header              { return http.Header{} }
func (r *watchReader) WriteHeader(int)                  {}
func (r *watchReader) Flush()                           {}
func (r *watchReader) SetWriteDeadline(time.Time) error { return nil }

func (r *watchReader) Write(p []byte) (int, error) {
	r.mu.Lock()
	block := r.blocked
	r.mu.Unlock()
	if block != nil {
		<-block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(p))
	var l endpoints.List
	if len(p) > 1 && json.Unmarshal(p, &l) == nil {
		if l.Full {
			clear(r.servers)
		}
		for _, h := range l.Endpoints {
			if r.servers[h.Name] = h.StartedMs; h.Health == endpoints.Removed {
				delete(r.servers, h.Name)
			}
		}
		r.revision = l.Seq
	}
	return len(p), nil
}

func (r *watchReader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// Changes within a few milliseconds are one line, encoded once for all that watch; a quiet
// watch gets an empty line every two seconds; a reader between two versions misses nothing.
func TestFanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		readers := make([]*watchReader, 50)
		for i := range readers {
			readers[i] = newReader()
			go st.broadcaster.watch(ctx, readers[i], 0, nil)
		}
		synctest.Wait()
		before := st.broadcaster.encodedCount
		for i := range 3 {
			st.register(t, "b", float64(i+1))
		}
		between := newReader() // it comes before the line does, and knows two of the three
		go st.broadcaster.watch(ctx, between, st.revision()-1, nil)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if n := st.broadcaster.encodedCount - before; n != 1 {
			t.Errorf("three changes at once were encoded %d times", n)
		}
		for _, r := range append(readers, between) {
			if r.servers["b"] != 3 || r.revision != st.revision() || r.count() > 2 {
				t.Errorf("a reader has %v at version %d after %d lines", r.servers, r.revision, r.count())
				break
			}
		}
		n := readers[0].count()
		time.Sleep(6100 * time.Millisecond)
		synctest.Wait()
		if got := readers[0].lines[n:]; len(got) != 3 || got[0] != "\n" {
			t.Errorf("in six quiet seconds: %q", got)
		}
		cancel()
		synctest.Wait()
	})
}

// A reader that lags costs no more than what is kept for all, then gets the whole list and
// goes on; the others don't wait for it.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		slow, quick := newReader(), newReader()
		go st.broadcaster.watch(ctx, slow, 0, nil)
		go st.broadcaster.watch(ctx, quick, 0, nil)
		synctest.Wait()
		slow.mu.Lock()
		slow.blocked = make(chan struct{})
		slow.mu.Unlock()
		for i := range 2 * maxListEvents {
			st.register(t, fmt.Sprint("s-", i), 1)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if quick.revision != st.revision() || len(st.broadcaster.events) > maxListEvents {
			t.Errorf("the quick one is at %d of %d; %d lines kept", quick.revision, st.revision(), len(st.broadcaster.events))
		}
		slow.mu.Lock()
		close(slow.blocked)
		slow.blocked = nil
		slow.mu.Unlock()
		synctest.Wait()
		if slow.revision != st.revision() || len(slow.servers) != 2*maxListEvents+1 || slow.count() > 10 || st.broadcaster.laggedCount != 1 {
			t.Errorf("the slow one is at %d of %d with %d servers after %d lines, lagged %d", slow.revision, st.revision(), len(slow.servers), slow.count(), st.broadcaster.laggedCount)
		}
		st.register(t, "last", 1)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if slow.servers["last"] != 1 {
			t.Error("it does not go on")
		}
		st.broadcaster.endAll()
		synctest.Wait()
		cancel()
	})
}

// A thousand calls at once are admitted up to the bound; the rest are told to come back at
// times spread over as long as the bound needs for all of them, and writes have places of their own.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Defaults()
		c.CallRate, c.MaxWrites = 400, 2
		a := newAdmission(&c)
		admitted, late := 0, 0
		for range 1000 {
			w := httptest.NewRecorder()
			if a.admitCall(w, 0) {
				admitted++
				continue
			}
			s, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if w.Code != http.StatusServiceUnavailable || err != nil || s < minRetryAfter.Seconds() || s > (minRetryAfter+2*maxRetryAfter).Seconds() {
				t.Fatalf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
			if s > 1 {
				late++
			}
		}
		if admitted != 100 {
			t.Errorf("%d admitted at once, of a burst of 100", admitted)
		}
		// 900 at 400 a second take 2.25 s, so six in ten are to come later than in a second.
		if late < 450 || late > 650 {
			t.Errorf("%d of 900 told to come later than in a second", late)
		}
		if w := httptest.NewRecorder(); a.admitCall(w, 0) {
			t.Error("admitted at the bound")
		}
		time.Sleep(3 * time.Second)
		again := 0
		for range 1000 {
			if a.admitCall(httptest.NewRecorder(), 10*bytesPerCall) {
				again++
			}
		}
		if again != 100/11 {
			t.Errorf("%d whole lists admitted in the place of 100 calls, each as dear as eleven", again)
		}
		var back []func()
		for i := range 3 {
			ok, done := a.admitWrite(httptest.NewRecorder())
			if ok != (i < 2) {
				t.Errorf("write %d admitted: %v", i, ok)
			}
			if ok {
				back = append(back, done)
			}
		}
		back[0]()
		if ok, _ := a.admitWrite(httptest.NewRecorder()); !ok {
			t.Error("a place that was given back is not taken")
		}
	})
}

// fullDisk is a disk that takes nothing.
type fullDisk struct{ raft.StableStore }

func (fullDisk) Set(_, _ []byte) error              { return errors.New("no space left on device") }
func (fullDisk) SetUint64(_ []byte, _ uint64) error { return errors.New("no space left on device") }

// What raft promised and can't be written ends the steward with a line that says why, before
// raft goes on as if it were.
func TestPromises(t *testing.T) {
	for what, promise := range map[string]func(p *stableStore){
		"vote": func(p *stableStore) { _ = p.Set([]byte("LastVoteCand"), []byte("st-1")) },
		"term": func(p *stableStore) { _ = p.SetUint64([]byte("CurrentTerm"), 7) },
	} {
		var said []error
		wentOn := false
		done := make(chan struct{})
		go func() {
			defer close(done)
			promise(&stableStore{fullDisk{}, func(err error) { said = append(said, err) }})
			wentOn = true
		}()
		<-done
		if wentOn || len(said) != 1 || !strings.Contains(said[0].Error(), "the log can't be written: no space left") {
			t.Errorf("%s: went on %v, said %v", what, wentOn, said)
		}
	}
}

// A client whose first address hangs asks another from then on, and the first again only
// when that one fails too; what may have had an effect is not sent again by itself.
func TestClientGoesOn(t *testing.T) {
	asked := make(chan int, 10)
	hang := make(chan struct{})
	var addrs []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- i
			if i == 0 {
				<-hang
			}
			fmt.Fprint(w, "{}")
		}))
		defer s.Close()
		addrs = append(addrs, s.Listener.Addr().String())
	}
	defer close(hang)
	c := NewClient(addrs, 200*time.Millisecond)
	for i, want := range []bool{false, true, true} {
		if _, err := c.SetOverride(t.Context(), "s", ServerOverride{}); (err == nil) != want {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if a, b, c := <-asked, <-asked, <-asked; a != 0 || b != 1 || c != 1 || len(asked) > 0 {
		t.Errorf("asked %d, %d, %d and %d more", a, b, c, len(asked))
	}
}

// Whatever doesn't fit in a log or a snapshot ends the steward rather than its state.
func TestUnreadable(t *testing.T) {
	var broken []error
	f := &fsm{state: catalog.New(), onChange: func() {}, onFatal: func(err error) { broken = append(broken, err) }}
	for _, text := range []string{"{", `{"form":2,"kind":"floor","seq":5}`, `{"form":1,"kind":"later"}`} {
		before := len(broken)
		f.Apply(&raft.Log{Index: 7, Data: []byte(text)})
		if len(broken) != before+1 || !strings.Contains(broken[before].Error(), "entry 7 of the log") || f.revision() != 0 {
			t.Errorf("%s: %v, version %d", text, broken, f.revision())
		}
	}
}

// A configuration is the file, then the environment, then flags; what makes no sense is one
// line that names the key.
func TestConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "steward.toml")
	load := func(text string, flags map[string]any) (*Config, error) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(path, flags)
	}
	good := "name = \"a\"\ndata = \"d\"\nlease_ttl = \"4s\"\n[peers.b]\nhttp = \"127.0.0.1:1\"\nraft = \"127.0.0.1:2\"\n"
	t.Setenv("STEWARD_LEASE_TTL", "5s")
	t.Setenv("STEWARD_NAME", "from-env")
	c, err := load(good, map[string]any{"name": "from-flag"})
	if err != nil || c.LeaseTTL != 5*time.Second || c.Name != "from-flag" || c.Peers["b"].Raft != "127.0.0.1:2" || c.GuardShare != 0.4 {
		t.Errorf("%+v, %v", c, err)
	}
	for text, says := range map[string]string{
		good + "colour = 1\n":                     "colour",
		"data = \"d\"\nspeed = 3\n":               "speed: unknown key",
		"name = \"a\"\n":                          "data: missing",
		"data = \"d\"\nguard_share = 2.0\n":       "guard_share: must be 0 to 1",
		"data = \"d\"\nlisten = \"here\"\n":       "listen: no address",
		"data = \"d\"\nheartbeat = \"soon\"\n":    "heartbeat",
		"data = \"d\"\nlog_level = \"loud\"\n":    "log_level",
		"data = \"d\"\n[peers.b]\nhttp = \"x\"\n": "peers.b.http",
		"data = ": "--config",
		"data = \"d\"\n[peers.\"a b\"]\nhttp = \"\"": "peers",
	} {
		if _, err := load(text, nil); err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: said %v, want one line with %q", text, err, says)
		}
	}
}
