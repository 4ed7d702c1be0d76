package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Environment variables override the file, and flags override both. An invalid setting is reported in one
// line that names the key.
func TestConfigPrecedenceAndErrors(t *testing.T) {
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
	for text, want := range map[string]string{
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
		if _, err := load(text, nil); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line that contains %q", text, err, want)
		}
	}
}
