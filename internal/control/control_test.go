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

// stand is a state machine and a hub without raft.
type stand struct {
	*fsm
	hub   *hub
	index uint64
}

func newStand(t *testing.T) *stand {
	st := &stand{fsm: &fsm{state: catalog.New(), broken: func(err error) { t.Error(err) }}}
	st.hub = newHub(st.fsm, 5*time.Millisecond)
	st.changed = st.hub.poke
	return st
}

func (st *stand) apply(t *testing.T, c catalog.Command) catalog.Result {
	t.Helper()
	c.FormatVersion = catalog.FormatVersion
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	st.index++
	return st.Apply(&raft.Log{Index: st.index, Data: text}).(catalog.Result)
}

func (st *stand) register(t *testing.T, name string, born float64) {
	t.Helper()
	h := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: born}
	if r := st.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &h}); r.Code != catalog.Done {
		t.Fatalf("%+v", r)
	}
}

// reader takes what a watch writes, and can be slow.
type reader struct {
	mu    sync.Mutex
	lines []string
	block chan struct{} // while it is open, writes wait
	have  map[string]float64
	seq   int64
}

func newReader() *reader { return &reader{have: map[string]float64{}} }

func (r *reader) Header() http.Header              { return http.Header{} }
func (r *reader) WriteHeader(int)                  {}
func (r *reader) Flush()                           {}
func (r *reader) SetWriteDeadline(time.Time) error { return nil }

func (r *reader) Write(p []byte) (int, error) {
	r.mu.Lock()
	block := r.block
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
			clear(r.have)
		}
		for _, h := range l.Endpoints {
			if r.have[h.Name] = h.StartedMs; h.Health == endpoints.Removed {
				delete(r.have, h.Name)
			}
		}
		r.seq = l.Seq
	}
	return len(p), nil
}

func (r *reader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// Changes within a few milliseconds are one line, encoded once for all that watch; a quiet
// watch gets an empty line every two seconds; a reader between two versions misses nothing.
func TestFanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newStand(t)
		go st.hub.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		readers := make([]*reader, 50)
		for i := range readers {
			readers[i] = newReader()
			go st.hub.watch(ctx, readers[i], 0, nil)
		}
		synctest.Wait()
		before := st.hub.encoded
		for i := range 3 {
			st.register(t, "b", float64(i+1))
		}
		between := newReader() // it comes before the line does, and knows two of the three
		go st.hub.watch(ctx, between, st.seq()-1, nil)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if n := st.hub.encoded - before; n != 1 {
			t.Errorf("three changes at once were encoded %d times", n)
		}
		for _, r := range append(readers, between) {
			if r.have["b"] != 3 || r.seq != st.seq() || r.count() > 2 {
				t.Errorf("a reader has %v at version %d after %d lines", r.have, r.seq, r.count())
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
		st := newStand(t)
		go st.hub.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		slow, quick := newReader(), newReader()
		go st.hub.watch(ctx, slow, 0, nil)
		go st.hub.watch(ctx, quick, 0, nil)
		synctest.Wait()
		slow.mu.Lock()
		slow.block = make(chan struct{})
		slow.mu.Unlock()
		for i := range 2 * mostLines {
			st.register(t, fmt.Sprint("s-", i), 1)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if quick.seq != st.seq() || len(st.hub.lines) > mostLines {
			t.Errorf("the quick one is at %d of %d; %d lines kept", quick.seq, st.seq(), len(st.hub.lines))
		}
		slow.mu.Lock()
		close(slow.block)
		slow.block = nil
		slow.mu.Unlock()
		synctest.Wait()
		if slow.seq != st.seq() || len(slow.have) != 2*mostLines+1 || slow.count() > 10 || st.hub.lagged != 1 {
			t.Errorf("the slow one is at %d of %d with %d servers after %d lines, lagged %d", slow.seq, st.seq(), len(slow.have), slow.count(), st.hub.lagged)
		}
		st.register(t, "last", 1)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if slow.have["last"] != 1 {
			t.Error("it does not go on")
		}
		st.hub.endAll()
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
			if a.call(w, 0) {
				admitted++
				continue
			}
			s, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if w.Code != http.StatusServiceUnavailable || err != nil || s < soonest.Seconds() || s > (soonest+2*latest).Seconds() {
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
		if w := httptest.NewRecorder(); a.call(w, 0) {
			t.Error("admitted at the bound")
		}
		time.Sleep(3 * time.Second)
		again := 0
		for range 1000 {
			if a.call(httptest.NewRecorder(), 10*bytesPerCall) {
				again++
			}
		}
		if again != 100/11 {
			t.Errorf("%d whole lists admitted in the place of 100 calls, each as dear as eleven", again)
		}
		var back []func()
		for i := range 3 {
			ok, done := a.write(httptest.NewRecorder())
			if ok != (i < 2) {
				t.Errorf("write %d admitted: %v", i, ok)
			}
			if ok {
				back = append(back, done)
			}
		}
		back[0]()
		if ok, _ := a.write(httptest.NewRecorder()); !ok {
			t.Error("a place that was given back is not taken")
		}
	})
}

// full is a disk that takes nothing.
type full struct{ raft.StableStore }

func (full) Set(_, _ []byte) error              { return errors.New("no space left on device") }
func (full) SetUint64(_ []byte, _ uint64) error { return errors.New("no space left on device") }

// What raft promised and can't be written ends the steward with a line that says why, before
// raft goes on as if it were.
func TestPromises(t *testing.T) {
	for what, promise := range map[string]func(p *promises){
		"vote": func(p *promises) { _ = p.Set([]byte("LastVoteCand"), []byte("st-1")) },
		"term": func(p *promises) { _ = p.SetUint64([]byte("CurrentTerm"), 7) },
	} {
		var said []error
		wentOn := false
		done := make(chan struct{})
		go func() {
			defer close(done)
			promise(&promises{full{}, func(err error) { said = append(said, err) }})
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
	f := &fsm{state: catalog.New(), changed: func() {}, broken: func(err error) { broken = append(broken, err) }}
	for _, text := range []string{"{", `{"form":2,"kind":"floor","seq":5}`, `{"form":1,"kind":"later"}`} {
		before := len(broken)
		f.Apply(&raft.Log{Index: 7, Data: []byte(text)})
		if len(broken) != before+1 || !strings.Contains(broken[before].Error(), "entry 7 of the log") || f.seq() != 0 {
			t.Errorf("%s: %v, version %d", text, broken, f.seq())
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
