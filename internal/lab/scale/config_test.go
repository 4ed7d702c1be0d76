package scale

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"knotrouter/internal/lab/configfile"
)

// The exact error texts that users see for a line that is added to validConfig: key, problem and value.
// "" means no error.
func TestErrorTextsOfLines(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"", ""},
		{"stewards = 0", "scale.stewards: must be 1 to 9, is 0"},
		{"stewardz = 3", "scale.stewardz: unknown key"},
		{"zz = 1\naa = 2", "scale.aa: unknown key"},
		{"real_agents = \"many\"", "'scale.real_agents' expected type 'int', got unconvertible type 'string'"},
		{"renew = \"1\"", "'scale.renew' time: missing unit in duration"},
		{"renew = \"soon\"", "'scale.renew' time: invalid duration"},
		{"renew = true", "'scale.renew' expected type 'time.Duration', got unconvertible type 'bool'"},
		{"renew = 3", "scale.renew: must be 10ms to 1m, is 3ns"},
		{"stewards = \"x\"\nreal_agents = \"y\"", "'scale.stewards' expected type 'int', got unconvertible type 'string'"},
		{"phases = \"steady\"", "'scale.phases' source data must be an array or slice, got string"},
		{"phases = [1]", "'scale.phases[0]' expected type 'string', got unconvertible type 'int64'"},
		{"phases = []", "scale.phases: must begin with \"first start\""},
		{"phases = [\"first start\"]", ""},
		{"phases = [\"first start\", \"\"]", "scale.phases[1]: unknown phase \"\": one of first start, steady, steady x10, leader killed, zone lost, config burst, steward killed, region lost"},
		{"steward = 3", "'scale.steward' expected type 'map[string]interface {}', got unconvertible type 'int64'"},
		{"steward = { lease_ttl = 3, max_watches = 2 }", ""},
		{"require_all = \"perhaps\"", "'scale.require_all' expected type 'bool', got unconvertible type 'string'"},
		{"seed = -1", "scale.seed: unknown key"},
		{"memory_mib = 1.5", "scale.memory_mib: must be 64 to 12288, is 1"},
		{"name = ", "no TOML: toml: incomplete number"},
		{"stewards = 3\nstewards = 4", "no TOML: toml: key stewards is already defined"},
		{"[other]\nx = 1", "other: unknown key"},
		{"[scale.other]\nx = 1", "scale.other: unknown key"},
		{"[scale]\nx = 1", "no TOML: toml: table scale already exists"},
		{"subscribed = 6", "scale.subscribed: must be at most the number of services, is 6 of 5"},
		{"real_agents = 101", "scale.real_agents: must be 0 to 100, is 101"},
		{"request_rate = nan", "scale.request_rate: must be above 0 and at most 1000, is NaN"},
		{"request_rate = 1001.5", "scale.request_rate: must be above 0 and at most 1000, is 1001.5"},
		{"emulated = 41", "scale.emulated: must be 1 to 40, is 41"},
		{"service_time = \"-1s\"", "scale.service_time: must be 0 to 1m, is -1s"},
		{"renew = \"1ms\"", "scale.renew: must be 10ms to 1m, is 1ms"},
		{"renew_batch = 0", "scale.renew_batch: must be 1 to 2000, is 0"},
		{"configurations_per_day = -1", "scale.configurations_per_day: must be 0 to 5e6, is -1"},
		{"restarts_per_day = 3e7", "scale.restarts_per_day: must be 0 to 3e6, is 3e+07"},
		{"steady = \"1ms\"", "scale.steady: must be 1s to 1h, is 1ms"},
		{"recover_within = \"2h\"", "scale.recover_within: must be 1s to 1h, is 2h0m0s"},
		{"agents_per_process = 0", "scale.agents_per_process: must be 1 to 19000, is 0"},
		{"memory_mib = 20000", "scale.memory_mib: must be 64 to 12288, is 20000"},
		{"entry_bytes = 0", "scale.entry_bytes: must be 1 or above, is 0"},
		{"processes = 201", "scale.processes: must be 1 to 200, is 201"},
		{"agents_per_process = 1\nprocesses = 30", "scale.sizes[0].watches: they need 34 processes of at most 30"},
		{"\"a.b\" = 1", "scale.a.b: unknown key"},
		{"steward_command = 3", "'scale.steward_command' expected type 'string', got unconvertible type 'int64'"},
		{"steward_command = [\"a\"]", "'scale.steward_command' expected type 'string', got unconvertible type '[]interface {}'"},
		{"phases = [\"first start\", \"flood\"]", "scale.phases[1]: unknown phase \"flood\": one of first start, steady, steady x10, leader killed, zone lost, config burst, steward killed, region lost"},
		{"phases = [\"first start\", \"zone lost\", \"steady\"]", "scale.phases[2]: \"steady\" is out of order: they are run in the order first start, steady, steady x10, leader killed, zone lost, config burst, steward killed, region lost"},
		{"stewards = 2", "scale.phases[3]: \"leader killed\" needs three stewards"},
		{"emulated = -9223372036854775808", "scale.emulated: must be 1 to 40, is -9223372036854775808"},
		{"seed = 99999999999999999999", "no TOML: toml: couldn't parse decimal number: strconv.ParseInt: parsing \"99999999999999999999\": value out of range"},
		{"stewards = []", "'scale.stewards' expected type 'int', got unconvertible type '[]interface {}'"},
	} {
		checkErrorText(t, validConfig+c.line+"\n", c.want)
	}
}

// The exact error texts that users see for the text of a whole file.
func TestErrorTextsOfFiles(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "name: must be a word without a slash, is \"\""},
		{"name = 3\n", "'name' expected type 'string', got unconvertible type 'int64'"},
		{"name = \"a b\"\n", "name: must be a word without a slash, is \"a b\""},
		{"name = \"a\"\nscale = 3\n", "'scale' expected a map or struct, got \"int64\""},
		{"name = \"a\"\n[scale]\nsizes = 3\n", "'scale.sizes' source data must be an array or slice, got int64"},
		{"name = \"a\"\n[scale]\nsizes = [3]\n", "'scale.sizes[0]' expected a map or struct, got \"int64\""},
		{"name = \"a\"\n[scale]\nsizes = [{servers = \"x\", watches = 1, services = 1}]\n", "'scale.sizes[0].servers' expected type 'int', got unconvertible type 'string'"},
		{"name = \"a\"\n[scale]\nsizes = [{servers = 100, watches = 1, services = 1, zones = 4}]\n", "scale.sizes[0].zones: unknown key"},
		{"name = \"a\"\n[scale]\nsizes = []\n", "scale.sizes: missing"},
		{"name = \"a\"\n[scale]\nsizes = [{servers = 5}]\n", "scale.sizes[0].servers: must be 22 to 100000, is 5"},
		{"name = \"a\"\n[scale]\nsizes = [{servers = 100}]\n", "scale.sizes[0].watches: must be 1 or above, is 0"},
		{"name = \"a\"\n[scale]\nsizes = [{servers = 100, watches = 1}]\n", "scale.sizes[0].services: must be 1 to the number of servers, is 0"},
		{"name = \"a\"\nseed = \"x\"\nabout = 3\n", "'about' expected type 'string', got unconvertible type 'int64'"},
		{"a\nb", "no TOML: toml: expected character ="},
		{"[scale\n", "no TOML: toml: expected character ]"},
		{"name = \"a\"\nabout = \"\"\"x\n", "no TOML: toml: multiline basic string not terminated by \"\"\""},
		{"name = \"a\"\nname = \"b\"\n", "no TOML: toml: key name is already defined"},
	} {
		checkErrorText(t, c.text, c.want)
	}
}

// checkErrorText checks the error of Parse for a text. An error that begins with a key has to be a
// KeyError.
func checkErrorText(t *testing.T, text, want string) {
	t.Helper()
	_, err := Parse([]byte(text))
	got := ""
	if err != nil {
		got = err.Error()
	}
	if got != want {
		t.Errorf("%q:\nerror %q\nwant  %q", text, got, want)
	}
	var keyErr *configfile.KeyError
	wantKeyError := strings.HasPrefix(want, "scale.") || strings.HasPrefix(want, "name: ") || strings.HasPrefix(want, "other: ")
	if errors.As(err, &keyErr) != wantKeyError {
		t.Errorf("%q: error %#v; want a KeyError: %v", text, err, wantKeyError)
	}
}

// A list in the file replaces the default list instead of being merged with it.
func TestListsReplaceDefaults(t *testing.T) {
	config, err := Parse([]byte(validConfig + "phases = [\"first start\", \"zone lost\"]\nsteward = { max_watches = 2 }\n"))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(config.Scale.Phases, []string{FirstStart, ZoneLost}) || len(config.Scale.ControlPlaneSettings) != 1 {
		t.Errorf("phases %q, settings %v", config.Scale.Phases, config.Scale.ControlPlaneSettings)
	}
}

// A file describes a scale run if it is TOML and has the key "scale", whatever its value is.
func TestIsExperiment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "experiment.toml")
	if IsExperiment(path) {
		t.Error("IsExperiment is true for a missing file")
	}
	for text, want := range map[string]bool{
		"": false, "[scale]\n": true, "scale = 3\n": true, "[scale.x]\n": true, "[[scale]]\n": true,
		"[scale\n": false, "[other.scale]\n": false,
	} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if IsExperiment(path) != want {
			t.Errorf("%q: IsExperiment is %v", text, !want)
		}
	}
}
