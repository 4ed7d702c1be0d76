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

// registerWithAllFields registers a server with every field set and the start time startedMs, in milliseconds.
func registerWithAllFields(t *testing.T, fixture *fsmFixture, name, service string, startedMs float64) {
	t.Helper()
	endpoint := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:9", Site: "a", Class: "k", Block: 3, Health: endpoints.Ready, Weight: 1, StartedMs: startedMs, Service: service}
	if r := fixture.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &endpoint}); r.Code != catalog.Done {
		t.Fatalf("%+v", r)
	}
}

// splitLines joins the writes of a watch and returns its lines.
func splitLines(writes []string) []string {
	return strings.Split(strings.TrimSuffix(strings.Join(writes, ""), "\n"), "\n")
}

// TestWatchLinesKeepTheirForm checks that a watch of all services and a watch of two services write the
// same lines as the program of commit d25b370, from which the golden file was recorded: for the changes
// since revision 0, a new server, a change of service, a drain, a removal, and the heartbeat of an idle
// watch.
func TestWatchLinesKeepTheirForm(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		register := func(name, service string, startedMs float64) {
			t.Helper()
			registerWithAllFields(t, fixture, name, service, startedMs)
			time.Sleep(time.Second)
		}
		register("s-a", "", 1000)
		register("s-b", "web", 1000)
		all, services := newWatchReader(), newWatchReader()
		go fixture.broadcaster.watch(fixture.ctx, all, 0, nil)
		go fixture.broadcaster.watchServices(fixture.ctx, services, []string{"", "web"}, 0, nil)
		time.Sleep(100 * time.Millisecond)
		register("s-c", "web", 1000)
		register("s-a", "mail", 2000)
		fixture.apply(t, catalog.Command{Kind: catalog.Drain, Refs: []catalog.InstanceRef{{Name: "s-b", StartedMs: 1000}}})
		time.Sleep(time.Second)
		fixture.apply(t, catalog.Command{Kind: catalog.Deregister, Refs: []catalog.InstanceRef{{Name: "s-b", StartedMs: 1000}}})
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		golden.Lines(t, "watch-lines.txt", slices.Concat([]string{"all"}, splitLines(all.lines), []string{"services"}, splitLines(services.lines)))
	})
}

// openWatch opens a watch of services, or of all if services is nil, for a reader at the revision since.
func openWatch(fixture *fsmFixture, services []string, since int64) *watchReader {
	r := newWatchReader()
	if services == nil {
		go fixture.broadcaster.watch(fixture.ctx, r, since, nil)
	} else {
		go fixture.broadcaster.watchServices(fixture.ctx, r, services, since, nil)
	}
	return r
}

// TestFullListsOfWatchesKeepTheirForm checks the full lists that watches write: to watches that are open
// when the revision is raised, which drops the history of changes, and to readers with a later revision than
// the server. watch-full-lists.txt was written by hand in the format of watch-lines.txt, and the program of
// commit d25b370 writes the same to these watches.
func TestFullListsOfWatchesKeepTheirForm(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		const raisedRevision = 1000
		registerWithAllFields(t, fixture, "s-a", "", 1000)
		registerWithAllFields(t, fixture, "s-b", "web", 1000)
		fixture.apply(t, catalog.Command{Kind: catalog.Drain, Refs: []catalog.InstanceRef{{Name: "s-b", StartedMs: 1000}}})
		fixture.awaitPublished()
		all, services := openWatch(fixture, nil, 0), openWatch(fixture, []string{"", "web"}, 0)
		noServers := openWatch(fixture, []string{"none"}, 0)
		synctest.Wait()
		fixture.apply(t, catalog.Command{Kind: catalog.RaiseRevision, Seq: raisedRevision})
		fixture.awaitPublished()
		allAhead := openWatch(fixture, nil, raisedRevision+1)
		servicesAhead := openWatch(fixture, []string{"", "web"}, raisedRevision+1)
		synctest.Wait()
		golden.Lines(t, "watch-full-lists.txt", slices.Concat(
			[]string{"all, open when the revision is raised"}, splitLines(all.lines),
			[]string{"services, open when the revision is raised"}, splitLines(services.lines),
			[]string{"service without servers, open when the revision is raised"}, splitLines(noServers.lines),
			[]string{"all, opened by a reader at a later revision"}, splitLines(allAhead.lines),
			[]string{"services, opened by a reader at a later revision"}, splitLines(servicesAhead.lines),
		))
	})
}
