package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/golden"
)

// TestClientKeepsItsRequests checks that each client method sends the same HTTP method, path, query and
// body as the program of commit d25b370, from which the golden file was recorded.
func TestClientKeepsItsRequests(t *testing.T) {
	var mu sync.Mutex
	var got []string
	stub := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		got = append(got, strings.TrimSpace(r.Method+" "+r.URL.RequestURI()+" "+string(body)))
		w.WriteHeader(http.StatusTeapot)
	}))
	t.Cleanup(stub.Close)
	c := NewClient([]string{strings.TrimPrefix(stub.URL, "http://")}, 5*time.Second)
	ctx := t.Context()
	var endpoint endpoints.Endpoint
	var override ServerOverride
	var session catalog.Session
	var task TaskDefinition
	var ref catalog.InstanceRef
	var term catalog.TermRef
	for _, v := range []any{&endpoint, &override, &session, &task, &ref, &term} {
		golden.Fill(t, v)
	}
	// The stub rejects every request. Only the requests that it received are compared, so results are ignored.
	_, _ = c.Register(ctx, endpoint)
	_, _ = c.Renew(ctx, []catalog.InstanceRef{ref})
	_, _ = c.SetOverride(ctx, "s-a", override)
	_, _ = c.Server(ctx, "s-a", true)
	_, _ = c.Server(ctx, "s-a", false)
	_, _ = c.Servers(ctx, true)
	_, _ = c.Servers(ctx, false)
	_, _ = c.List(ctx)
	_, _ = c.Status(ctx)
	_, _ = c.Snapshot(ctx)
	_, _ = c.Restore(ctx, []byte(`{"form":1}`))
	_, _ = c.ChangeVoter(ctx, "st-2", true)
	_, _ = c.ChangeVoter(ctx, "st-2", false)
	_ = c.ConfirmRemovals(ctx)
	_ = c.OpenSession(ctx, session)
	_, _ = c.RenewSession(ctx, "w-1", "one", 7)
	_, _ = c.WatchSession(ctx, "w-1", "one", 7)
	_ = c.EndSession(ctx, "w-1", "one", true)
	_ = c.EndSession(ctx, "w-1", "one", false)
	_ = c.ReportTerms(ctx, catalog.AcceptTransfer, []catalog.TermRef{term}, catalog.ReasonFailed)
	_, _ = c.Tasks(ctx)
	_, _ = c.Task(ctx, "job.a")
	_, _ = c.Sessions(ctx)
	_ = c.DefineTask(ctx, "job.a", task)
	_, _ = c.ClaimTask(ctx, "job.a", "w-1", "one")
	_ = c.ReleaseTerm(ctx, term)
	for _, command := range []string{CommandTransfer, CommandRevoke, CommandSuspend, CommandResume, CommandDelete} {
		_ = c.CommandTask(ctx, "job.a", command, "w-2", "until tomorrow")
	}
	_, _ = ReadMemberViews(ctx, c.Addrs, time.Second)
	mu.Lock()
	defer mu.Unlock()
	golden.Lines(t, "requests.txt", got)
}

// TestRejectionsKeepTheirHeaders checks the headers of a rejected request, without a leader and at the
// request limit: they tell the client when to retry and that the request had no effect. The
// answer to a write with an unknown outcome must not claim that the write had no effect.
func TestRejectionsKeepTheirHeaders(t *testing.T) {
	s := newUnstartedServer(t)
	check := func(name string, status int, w *httptest.ResponseRecorder, notApplied string) {
		t.Helper()
		if w.Code != status || w.Header().Get("Retry-After") == "" || w.Header().Get("Not-Applied") != notApplied {
			t.Errorf("%s: %d %v", name, w.Code, w.Header())
		}
	}
	for _, r := range []apiRequest{{"PUT", "/v1/servers/s-a", "{}"}, {"POST", "/v1/terms", "{}"}, {"PUT", "/v1/duties/job.a", "{}"},
		{"GET", "/v1/servers?consistent=1", "{}"}, {"GET", "/v1/duties?consistent=1", "{}"}} {
		w := httptest.NewRecorder()
		s.handler().ServeHTTP(w, httptest.NewRequest(r.method, r.path, strings.NewReader(r.body)))
		check(r.method+" "+r.path, http.StatusServiceUnavailable, w, "1")
	}
	w := httptest.NewRecorder()
	s.admission.reject(w, time.Second)
	check("too many requests", http.StatusServiceUnavailable, w, "1")
	w = httptest.NewRecorder()
	writeError(w, errUnknownOutcome)
	check("unknown outcome", http.StatusServiceUnavailable, w, "")
}

// TestEndSessionKeepsRestParameter checks the query parameter rest, which makes a request to end a session
// drain it instead, and the name of the header that marks a forwarded request.
func TestEndSessionKeepsRestParameter(t *testing.T) {
	if forwardedByHeader != "Forwarded-By" {
		t.Errorf("the header of a forwarded request is %q", forwardedByHeader)
	}

	s := startServerOnFolder(t, t.TempDir())
	session := func() string {
		return strings.Join(itemsExcept(t, s.get("/v1/sessions?consistent=1"), regexp.MustCompile(`"process":"st-1"`)), "")
	}
	for _, step := range []struct {
		request apiRequest
		want    string // the sessions after the request, with all numbers replaced by 0
	}{
		{apiRequest{http.MethodPut, "/v1/sessions/w-1", `{"process":"w-1","id":"one","cap":0,"rev":0}`}, `{"process":"w-1","id":"one","cap":0,"opened":0,"rev":0}`},
		{apiRequest{http.MethodDelete, "/v1/sessions/w-1?id=one&rest=1", ""}, `{"process":"w-1","id":"one","cap":0,"resting":true,"opened":0,"rev":0}`},
		{apiRequest{http.MethodDelete, "/v1/sessions/w-1?id=one", ""}, ""},
	} {
		r := step.request
		if status, _, text := s.do(r.method, r.path, r.body); status != http.StatusOK {
			t.Fatalf("%s %s: %d %s", r.method, r.path, status, text)
		}
		if got := zeroNumbers([]byte(session())); got != step.want {
			t.Errorf("after %s %s the sessions are %s, want %s", r.method, r.path, got, step.want)
		}
	}
}
