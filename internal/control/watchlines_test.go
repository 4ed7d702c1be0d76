package control

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/golden"
)

// TestWatchLinesKeepTheirForm holds what a watch of the whole list and a watch of two services
// write: the first list, a change, a move to another service, an end, and the line of a quiet
// watch; as the program of commit d25b370 wrote them.
func TestWatchLinesKeepTheirForm(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		register := func(name, service string, born float64) {
			t.Helper()
			h := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:9", Site: "a", Class: "k", Block: 3, Health: endpoints.Ready, Weight: 1, StartedMs: born, Service: service}
			if r := fixture.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &h}); r.Code != catalog.Done {
				t.Fatalf("%+v", r)
			}
			time.Sleep(time.Second)
		}
		register("s-a", "", 1000)
		register("s-b", "web", 1000)
		full, scoped := newWatchReader(), newWatchReader()
		go fixture.broadcaster.watch(fixture.ctx, full, 0, nil)
		go fixture.broadcaster.watchServices(fixture.ctx, scoped, []string{"", "web"}, 0, nil)
		time.Sleep(100 * time.Millisecond)
		register("s-c", "web", 1000)
		register("s-a", "mail", 2000)
		fixture.apply(t, catalog.Command{Kind: catalog.Drain, Refs: []catalog.InstanceRef{{Name: "s-b", StartedMs: 1000}}})
		time.Sleep(time.Second)
		fixture.apply(t, catalog.Command{Kind: catalog.Deregister, Refs: []catalog.InstanceRef{{Name: "s-b", StartedMs: 1000}}})
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		lines := func(r *watchReader) []string {
			return strings.Split(strings.TrimSuffix(strings.Join(r.lines, ""), "\n"), "\n")
		}
		golden.Lines(t, "watch-lines.txt", slices.Concat([]string{"all"}, lines(full), []string{"services"}, lines(scoped)))
	})
}
