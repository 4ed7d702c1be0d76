package control

import (
	"archive/tar"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"

	"knotrouter/internal/catalog"
	"knotrouter/internal/lab/golden"
)

// The files in testdata were recorded from the program of commit d25b370. Data folders on disk, other
// builds, scripts and dashboards depend on these formats and names, so they must not change. Go
// identifiers may be renamed.

// TestMessagesKeepTheirKeys checks the JSON encoding of request and response bodies with every field
// set. The types of the catalog, of members and of lists are checked in the packages that declare them.
// The names given here are only labels in messages.txt: they date from commit d25b370 and stay as
// recorded, even where the Go type has been renamed since.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{
		golden.Of[Status]("status"),
		golden.Of[RenewalBatch]("renewals"),
		golden.Of[ServerOverride]("override of a server"),
		golden.Of[revisionBody]("seen"),
		golden.Of[incarnationRequestBody]("arrival"),
		golden.Of[fenceBody]("sweep and voters"),
		golden.Of[renewalBody]("renewal of a session"),
		golden.Of[termsBody]("terms"),
		golden.Of[TaskDefinition]("duty"),
		golden.Of[claimBody]("claim"),
		golden.Of[taskCommandBody]("order on a duty"),
		golden.Of[ObservationMessage]("evidence"),
	})
}

// discardLog returns a logger that drops all messages.
func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// newUnstartedServer returns a server that has opened neither its store nor a listener.
func newUnstartedServer(t *testing.T) *Server {
	t.Helper()
	c := Defaults()
	s := newServer(&c, discardLog())
	t.Cleanup(s.cancel)
	return s
}

// TestRoutesKeepTheirPaths checks which methods each path accepts. It requests each path with a method
// that no route accepts and reads the accepted ones from the Allow header of the response.
func TestRoutesKeepTheirPaths(t *testing.T) {
	handler := newUnstartedServer(t).handler()
	var got []string
	for _, path := range []string{"/metrics", "/v1/duties", "/v1/duties/x", "/v1/duties/x/claim", "/v1/duties/x/move",
		"/v1/duties/x/park", "/v1/duties/x/revoke", "/v1/duties/x/unpark", "/v1/endpoints", "/v1/evidence", "/v1/guard/confirm",
		"/v1/members", "/v1/members/x", "/v1/members/x/arrival", "/v1/peers/x", "/v1/renewals", "/v1/seen", "/v1/servers",
		"/v1/servers/x", "/v1/servers/x/drain", "/v1/sessions", "/v1/sessions/x", "/v1/sessions/x/renewal",
		"/v1/sessions/x/tasks", "/v1/snapshot", "/v1/status", "/v1/sweep", "/v1/terms", "/v1/voters", "/v1/x"} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("PROBE", path, nil))
		got = append(got, fmt.Sprintf("%s %d %s", path, w.Code, w.Header().Get("Allow")))
	}
	golden.Lines(t, "routes.txt", got)
}

// TestMetricsKeepTheirNames checks the name and the labels of each metric.
func TestMetricsKeepTheirNames(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 1000)
	newUnstartedServer(t).metrics.registry.Describe(descriptions)
	close(descriptions)
	descPattern := regexp.MustCompile(`^Desc\{fqName: "([^"]*)", .*variableLabels: \{([^}]*)\}\}$`)
	var got []string
	for d := range descriptions {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("metric description has an unknown format: %s", d)
		}
		if strings.HasPrefix(m[1], "go_") || strings.HasPrefix(m[1], "process_") {
			continue
		}
		got = append(got, m[1]+"{"+m[2]+"}")
	}
	slices.Sort(got)
	golden.Lines(t, "metrics.txt", got)
}

// settingLines returns the keys of a configuration with their values, one per line, sorted.
func settingLines(prefix string, v reflect.Value) (lines []string) {
	for i := range v.NumField() {
		key, f := prefix+v.Type().Field(i).Tag.Get("koanf"), v.Field(i)
		switch {
		case strings.HasSuffix(key, "-"):
		case f.Kind() == reflect.Map:
			for _, k := range f.MapKeys() {
				lines = append(lines, settingLines(key+"."+k.String()+".", f.MapIndex(k))...)
			}
		default:
			lines = append(lines, fmt.Sprintf("%s = %v", key, f))
		}
	}
	slices.Sort(lines)
	return lines
}

// TestConfigurationKeepsItsKeys loads a file that sets every key, then loads the same settings from the
// environment. Every key must be known, and none may be left at its default.
func TestConfigurationKeepsItsKeys(t *testing.T) {
	defaults := Defaults()
	defaultLines := settingLines("", reflect.ValueOf(defaults))
	golden.Lines(t, "defaults.txt", defaultLines)
	fromFile, err := LoadConfig(golden.Path("every-key.toml"), nil)
	if err != nil {
		t.Fatal(err)
	}
	fileLines := settingLines("", reflect.ValueOf(*fromFile))
	golden.Lines(t, "settings.txt", fileLines)
	for _, line := range fileLines {
		if slices.Contains(defaultLines, line) {
			t.Errorf("every-key.toml leaves a key at its default: %s", line)
		}
	}
	for _, line := range fileLines {
		if key, value, _ := strings.Cut(line, " = "); !strings.Contains(key, ".") {
			t.Setenv("STEWARD_"+strings.ToUpper(key), value)
		}
	}
	fromEnvironment, err := LoadConfig("", nil)
	if err != nil {
		t.Fatal(err)
	}
	fromEnvironment.Peers = fromFile.Peers // tables can't be set by environment variables
	if environmentLines := settingLines("", reflect.ValueOf(*fromEnvironment)); !slices.Equal(environmentLines, fileLines) {
		t.Errorf("from the environment:\n%s\nfrom the file:\n%s", strings.Join(environmentLines, "\n"), strings.Join(fileLines, "\n"))
	}
}

// unpackRecordedFolder unpacks the data folder of a server that was killed while its log had entries
// after the last snapshot, and returns the folder's path.
func unpackRecordedFolder(t *testing.T) string {
	t.Helper()
	file, err := os.Open(golden.Path("folder.tar.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	decompressed, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for archive := tar.NewReader(decompressed); ; {
		h, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return dir
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, filepath.FromSlash(h.Name))
		if h.Typeflag == tar.TypeDir {
			err = os.MkdirAll(path, 0o755)
		} else {
			var content []byte
			if content, err = io.ReadAll(archive); err == nil {
				err = os.WriteFile(path, content, 0o600)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestRecordedFolderReplaysToRecordedState restores the recorded snapshot and replays the log after it.
// The resulting state must be byte for byte the one that the recording program returned before it was
// killed.
func TestRecordedFolderReplaysToRecordedState(t *testing.T) {
	s, err := openStore(unpackRecordedFolder(t), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	snapshots, err := s.snapshots.List()
	if err != nil || len(snapshots) == 0 {
		t.Fatalf("%d snapshots: %v", len(snapshots), err)
	}
	latest := snapshots[0]
	_, snapshot, err := s.snapshots.Open(latest.ID)
	if err != nil {
		t.Fatal(err)
	}
	replayed := &fsm{state: catalog.New(), onChange: func() {}, onFatal: func(err error) { t.Error(err) }}
	if err := replayed.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	lastIndex, err := s.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	commands := 0
	for i := latest.Index + 1; i <= lastIndex; i++ {
		var l raft.Log
		if err := s.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			replayed.Apply(&l)
			commands++
		}
	}
	if commands == 0 {
		t.Error("the recorded log has no commands after the snapshot")
	}
	got, err := replayed.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "folder-state.json", got)
}

// TestServerReadsRecordedFolder starts a server on the recorded data folder. It must return the same
// lists, servers, sessions and leased tasks as the program that wrote the folder, and accept writes. The
// comparison leaves out the server's own session, st-1, and the tasks that it holds, because each start
// opens a new session; and the session w-2, which holds no task and ends soon.
func TestServerReadsRecordedFolder(t *testing.T) {
	s := startServerOnFolder(t, unpackRecordedFolder(t))
	var got []string
	for _, path := range []string{"/v1/servers?consistent=1", "/v1/servers", "/v1/sessions?consistent=1", "/v1/duties?consistent=1"} {
		got = append(got, path)
		got = append(got, itemsExcept(t, s.get(path), regexp.MustCompile(`"(process|name)":"(st-1|w-2|audit|snapshots|sweep|voters)"`))...)
	}
	for _, path := range []string{"/v1/servers/s-a", "/v1/duties/job.a", "/v1/endpoints", "/v1/endpoints?service=web&service="} {
		text := regexp.MustCompile(`"seq":\d+`).ReplaceAllString(s.get(path), `"seq":0`)
		got = append(got, path, strings.TrimSpace(text))
	}
	golden.Lines(t, "folder-answers.txt", got)

	entry := `{"host":"s-f","dial":"127.0.0.1:9","site":"a","class":"k","block":3,"health":"ready","share":1,"born_ms":1000,"service":"web"}`
	if status, _, text := s.do(http.MethodPut, "/v1/servers/s-f", entry); status != http.StatusOK {
		t.Fatalf("register: %d %s", status, text)
	}
	if text := s.get("/v1/endpoints?service=web"); !strings.Contains(text, entry) {
		t.Errorf("the list does not have the server as it was registered: %s", text)
	}
}

// entryBody is the body of a request that registers the server s-a.
const entryBody = `{"host":"s-a","dial":"127.0.0.1:9","site":"a","class":"k","block":3,"health":"ready","share":1,"born_ms":1000}`

// recordedRequests are the requests whose responses are recorded in testdata/answers.txt, in the order in
// which they are sent to one server.
var recordedRequests = []apiRequest{
	{"PUT", "/v1/servers/s-a", entryBody},
	{"PUT", "/v1/servers/s-a", strings.Replace(entryBody, "1000", "900", 1)},
	{"PUT", "/v1/servers/s-b", entryBody},
	{"PUT", "/v1/servers/s-a", `{"strange":1}`},
	{"PUT", "/v1/servers/s-a", `{`},
	{"GET", "/v1/servers/s-b", ""},
	{"PATCH", "/v1/servers/s-a", `{}`},
	{"PATCH", "/v1/servers/s-a", `{"share":0.5,"if":1}`},
	{"PATCH", "/v1/servers/s-b", `{"share":0.5}`},
	{"POST", "/v1/servers/s-a/drain", ""},
	{"POST", "/v1/servers/s-a/drain?born_ms=1", ""},
	{"DELETE", "/v1/servers/s-a?born_ms=1000", ""},
	{"POST", "/v1/renewals", `{"refs":[{"name":"s-b","born_ms":1}]}`},
	{"POST", "/v1/guard/confirm", ""},
	{"POST", "/v1/seen", `{"seq":1}`},
	{"POST", "/v1/seen", `{"seq":-1}`},
	{"PUT", "/v1/snapshot", `{}`},
	{"GET", "/v1/endpoints?follow=1&since=x", ""},
	{"GET", "/v1/endpoints?service=a&service=a", ""},
	{"GET", "/v1/endpoints?service=a", ""},
	{"GET", "/v1/endpoints", ""},
	{"PUT", "/v1/sessions/w-1", `{"process":"w-1","id":"one","cap":0,"rev":0}`},
	{"PUT", "/v1/sessions/w-1", `{"process":"w-1","id":"two","cap":0,"rev":0}`},
	{"POST", "/v1/sessions/w-1/renewal", `{"id":"one","rev":0}`},
	{"POST", "/v1/sessions/w-1/renewal", `{"id":"two","rev":0}`},
	{"POST", "/v1/sessions/w-9/renewal", `{"id":"two","rev":0}`},
	{"GET", "/v1/sessions/w-1/tasks?id=one&rev=0", ""},
	{"GET", "/v1/sessions/w-1/tasks?id=one&rev=x", ""},
	{"PUT", "/v1/duties/job.a", `{"ttl_ms":1}`},
	{"PUT", "/v1/duties/job.a", `{"ttl_ms":600000}`},
	{"POST", "/v1/duties/job.a/claim", `{"process":"w-9","id":"one"}`},
	{"POST", "/v1/duties/job.a/revoke", ""},
	{"POST", "/v1/duties/job.a/move", `{}`},
	{"POST", "/v1/duties/job.a/park", `{"why":"until tomorrow"}`},
	{"POST", "/v1/duties/job.a/unpark", ""},
	{"DELETE", "/v1/duties/job.b", ""},
	{"GET", "/v1/duties/job.b", ""},
	{"POST", "/v1/terms", `{"kind":"grant","ties":[]}`},
	{"POST", "/v1/terms", `{"kind":"give up","ties":[]}`},
	{"POST", "/v1/terms", `{"kind":"give up","ties":[{"name":"job.a","session":"one","fence":1}],"why":"done"}`},
	{"POST", "/v1/terms", `{"kind":"give up","ties":[{"name":"job.a","session":"one","fence":1}],"why":"strange"}`},
	{"POST", "/v1/sweep", `{"fence":1}`},
	{"POST", "/v1/voters", `{"fence":1}`},
	{"PUT", "/v1/peers/nobody", ""},
	{"GET", "/v1/members", ""},
	{"POST", "/v1/evidence", `{"refs":[]}`},
}

// describeResponse returns the status of a response, its JSON with numbers zeroed or the text of its
// error up to the first colon, and its headers.
func describeResponse(r apiRequest, status int, header http.Header, text string) string {
	summary, detail, hasDetail := strings.Cut(strings.TrimSpace(text), ": ")
	if status == http.StatusOK {
		summary = zeroNumbers([]byte(text))
	} else if !hasDetail || detail == "" {
		summary = "(text)"
	}
	line := fmt.Sprintf("%s %s %s\n\t%d %s", r.method, r.path, r.body, status, summary)
	for _, key := range []string{"Content-Type", "Retry-After", "Not-Applied", "Service-Scope"} {
		if v := header.Get(key); v != "" {
			line += fmt.Sprintf("\n\t%s: %s", key, v)
		}
	}
	return line
}

// TestAnswersKeepStatusAndHeaders checks the status and headers of each response, with the first word of
// each rejection and the JSON keys of every other response.
func TestAnswersKeepStatusAndHeaders(t *testing.T) {
	s := startServerOnFolder(t, t.TempDir())
	var got []string
	for _, r := range recordedRequests {
		status, header, text := s.do(r.method, r.path, r.body)
		got = append(got, describeResponse(r, status, header, text))
	}
	golden.Lines(t, "answers.txt", got)
}
