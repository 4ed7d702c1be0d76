package endpoints

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/lab/golden"
)

// The files in testdata record the output of the program of commit d25b370. Other builds and other list
// services send and read the same texts, so they must not change. The Go names may.

// TestMessagesKeepTheirKeys checks the JSON format of a list, with every field. The names are only labels
// in messages.txt: they are those of commit d25b370 and stay as recorded.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{
		golden.Of[List]("list"),
		golden.Of[Endpoint]("host"),
	})
}

// TestConstantsKeepTheirValues checks the paths, the values of health, the query parameter and the headers.
// constants.txt records the set of values; the table records which constant has which value, so that two
// constants can't swap their values.
func TestConstantsKeepTheirValues(t *testing.T) {
	golden.Includes(t, "constants.txt", golden.StringConstants(t, "."))

	byValue := map[string]string{}
	for _, c := range []struct{ name, value, want string }{
		{"Path", Path, "/v1/endpoints"},
		{"MembersPath", MembersPath, "/v1/members"},
		{"Ready", Ready, "ready"},
		{"Draining", Draining, "draining"},
		{"Removed", Removed, "gone"},
		{"ServiceParam", ServiceParam, "service"},
		{"ScopeHeader", ScopeHeader, "Service-Scope"},
		{"OtherAddressesHeader", OtherAddressesHeader, "Other-Addresses"},
		{"MemberHeader", MemberHeader, "Member-Name"},
		{"BootIDHeader", BootIDHeader, "Member-Life"},
		{"retryAfterHeader", retryAfterHeader, "Retry-After"},
		{"notAppliedHeader", notAppliedHeader, "Not-Applied"},
	} {
		if c.value != c.want {
			t.Errorf("%s is %q, want %q", c.name, c.value, c.want)
		}
		byValue[c.want] = c.name
	}
	recorded, err := os.ReadFile(golden.Path("constants.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range strings.Fields(string(recorded)) {
		if byValue[value] == "" {
			t.Errorf("no constant in the table has the recorded value %q", value)
		}
	}
}

// TestRecordedListIsRead reads a list with keys that this build doesn't know.
func TestRecordedListIsRead(t *testing.T) {
	l, err := Parse([]byte(`{"seq":7,"whole":true,"later":1,"hosts":[{"host":"s-a","dial":"127.0.0.1:9","site":"a","class":"k",` +
		`"block":3,"health":"draining","share":0.5,"born_ms":1000,"service":"web","later":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Endpoint{"s-a", "127.0.0.1:9", "a", "k", 3, "draining", 0.5, 1000, "web"}
	if l.Seq != 7 || !l.Full || !slices.Equal(l.Endpoints, []Endpoint{want}) {
		t.Errorf("read as %+v", l)
	}
}

// TestRequestsKeepPathQueryAndHeaders checks the requests of a reader: a fetch and a watch, of all services
// and of some, with and without a member name.
func TestRequestsKeepPathQueryAndHeaders(t *testing.T) {
	var mu sync.Mutex
	var got []string
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line := r.Method + " " + r.URL.RequestURI()
		for _, key := range []string{"Other-Addresses", "Member-Name", "Member-Life", "Service-Scope"} {
			if v := r.Header.Get(key); v != "" {
				line += "\n\t" + key + ": " + regexp.MustCompile(`^[A-Z2-7]{26}$`).ReplaceAllString(v, "(drawn)")
			}
		}
		mu.Lock()
		got = append(got, line)
		mu.Unlock()
		w.Header().Set("Service-Scope", "1")
		fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
	}))
	t.Cleanup(service.Close)
	addr := strings.TrimPrefix(service.URL, "http://")
	for _, c := range []ClientConfig{
		{Addresses: []string{addr}},
		{Addresses: []string{addr, "127.0.0.1:1"}, Member: "agent-1"},
		{Addresses: []string{addr}, Services: []string{"web", "", "a+b"}},
	} {
		client := NewClient(c)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := client.Fetch(ctx, 0); err != nil {
			t.Error(err)
		}
		watchCtx, cancelWatch := context.WithCancel(ctx)
		_ = client.Watch(watchCtx, 5, func(List) { cancelWatch() })
		cancelWatch()
		if c.Member != "" {
			if err := client.Leave(ctx); err != nil {
				t.Error(err)
			}
		}
		cancel()
	}
	mu.Lock()
	defer mu.Unlock()
	golden.Lines(t, "requests.txt", got)
}
