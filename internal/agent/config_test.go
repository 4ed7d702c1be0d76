package agent

import (
	"encoding/json"
	"strings"
	"testing"
)

// An error in a configuration names the key.
func TestConfigErrorsNameTheKey(t *testing.T) {
	for key, change := range map[string]func(c map[string]any){
		"name":             func(c map[string]any) { delete(c, "name") },
		"listen":           func(c map[string]any) { c["listen"] = "here" },
		"discovery":        func(c map[string]any) { c["discovery"] = "127.0.0.1:http" },
		"seed":             func(c map[string]any) { c["seed"] = "xyz" },
		"limits.cores":     func(c map[string]any) { c["limits"].(map[string]any)["cores"] = 0 },
		"limits.memory_mb": func(c map[string]any) { c["limits"].(map[string]any)["memory_mb"] = -1 },
		"limits.sockets":   func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = "many" },
		"settings":         func(c map[string]any) { delete(c, "settings") },
		"failureDomains":   func(c map[string]any) { c["settings"].(map[string]any)["failureDomains"] = 1 },
		"classes[0].effect": func(c map[string]any) {
			c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["effect"] = "?"
		},
		"classes[0].name": func(c map[string]any) {
			delete(c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any), "name")
		},
		"membershipMode":  func(c map[string]any) { c["settings"].(map[string]any)["membershipMode"] = "?" },
		"contract.coldMs": func(c map[string]any) { c["settings"].(map[string]any)["contract"].(map[string]any)["coldMs"] = -1 },
	} {
		c := testConfig(unreachableAddr)
		change(c)
		text, _ := json.Marshal(c)
		if _, err := ParseConfig(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names the key", key, err)
		}
	}
	if _, err := ParseConfig([]byte("{")); err == nil {
		t.Error("a truncated configuration was accepted")
	}
}

// Invalid entries of the cached list are skipped and reported; the agent starts without them.
func TestMalformedCachedListIsSkipped(t *testing.T) {
	valid := hostEntry(1, "127.0.0.1:1", "ready")
	for _, c := range []struct {
		known     any
		hosts     int
		wantError string
	}{
		{nil, 0, ""},
		{map[string]any{}, 0, ""},
		{map[string]any{"seq": 3, "hosts": []any{valid}}, 1, ""},
		{map[string]any{"hosts": []any{hostEntry(0, "x", "ready"), valid}}, 1, "known: hosts[0].dial"},
		{map[string]any{"hosts": []any{valid, hostEntry(0, "127.0.0.1:1", "well"), 7, "x"}}, 1, "known: hosts[1].health: unknown word \"well\", and 2 more"},
		{map[string]any{"hosts": "none"}, 0, "known: "},
		{"a list", 0, "known: "},
		{[]any{valid}, 0, "known: "},
	} {
		config := testConfig(unreachableAddr)
		config["known"] = c.known
		got := parseConfig(t, config)
		message := ""
		if got.CachedListErr != nil {
			message = got.CachedListErr.Error()
		}
		if wantVersion := c.wantError == "" && c.hosts > 0; (got.CachedList.Seq != 0) != wantVersion {
			t.Errorf("%v: list version %d, want other than 0 only for a complete list", c.known, got.CachedList.Seq)
		}
		if len(got.CachedList.Endpoints) != c.hosts || !strings.Contains(message, c.wantError) || (message == "") != (c.wantError == "") {
			t.Errorf("%v: accepted %+v, error %q", c.known, got.CachedList.Endpoints, message)
		}
	}
}
