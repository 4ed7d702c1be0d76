package scale

import (
	"bytes"
	"strings"
	"testing"

	"knotrouter/internal/lab/capacity"
)

const validConfig = `
name = "tiny"
[scale]
sizes = [{ servers = 100, watches = 10, services = 5 }]
`

// The error of an invalid file is one line that names the key.
func TestErrorsNameTheKey(t *testing.T) {
	if _, err := Parse([]byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ line, want string }{
		{"stewards = 0", "scale.stewards: must be 1 to 9"},
		{"stewardz = 3", "scale.stewardz: unknown key"},
		{`phases = ["steady"]`, `scale.phases: must begin with "first start"`},
		{`phases = ["first start", "flood"]`, `scale.phases[1]: unknown phase "flood"`},
		{`phases = ["first start", "zone lost", "steady"]`, `scale.phases[2]: "steady" is out of order`},
		{"stewards = 2", `scale.phases[3]: "leader killed" needs three stewards`},
		{"subscribed = 6", "scale.subscribed: must be at most the number of services"},
		{"renew = \"1\"", "scale.renew"},
		{"memory_mib = 20000", "scale.memory_mib: must be 64 to 12288"},
		{"processes = 201", "scale.processes: must be 1 to 200"},
		{"agents_per_process = 1\nprocesses = 30", "scale.sizes[0].watches: they need 34 processes of at most 30"},
		{"request_rate = -1", "scale.request_rate: must be above 0"},
		{"real_agents = \"many\"", "real_agents"},
	} {
		_, err := Parse([]byte(validConfig + c.line + "\n"))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.line, err, c.want)
		}
	}
	for _, c := range []struct{ size, want string }{
		{"servers = 5, watches = 10, services = 5", "scale.sizes[0].servers"},
		{"servers = 100, watches = 0, services = 5", "scale.sizes[0].watches"},
		{"servers = 100, watches = 10, services = 101", "scale.sizes[0].services"},
		{"servers = 100, watches = 40000, services = 5", "scale.sizes[0].watches: with one steward lost"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, "servers = 100, watches = 10, services = 5", c.size, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.size, err, c.want)
		}
	}
}

// The memory limit bounds the number of readers, according to the list entries that each of them keeps. The
// bound is at least one reader.
func TestMaxWatchesInMemory(t *testing.T) {
	s := &Scale{MemoryMiB: 1000, EntryBytes: 1 << 10}
	if n := maxWatchesInMemory(s, Size{Servers: 1024}); n != 800 {
		t.Errorf("1000 MiB hold %d readers of 1 MiB, want 800", n)
	}
	if n := maxWatchesInMemory(s, Size{Servers: 10 << 20}); n != 1 {
		t.Errorf("with a list larger than the memory there are %d readers, want 1", n)
	}
	s.Subscribed = 1
	if n := maxWatchesInMemory(s, Size{Servers: 1024, Services: 4}); n != 1600 {
		t.Errorf("1000 MiB hold %d readers with two copies of a quarter of 1 MiB, want 1600", n)
	}
}

// A comparison shows the measurements of both results and the sizes that were not run.
func TestCompareShowsBothResults(t *testing.T) {
	before := capacity.Run{Servers: 100, Watches: 10}
	before.Add(roleReader, Steady, "bytes_in_per_second", 1234)
	after := before
	after.Measurements = nil
	after.Add(roleReader, Steady, "bytes_in_per_second", 56)
	after.NotRun = "memory ran out"
	var out bytes.Buffer
	a := &capacity.Results{Variant: "before", Runs: []capacity.Run{before, {Servers: 200}}}
	b := &capacity.Results{Variant: "after", Runs: []capacity.Run{after}}
	if err := Compare(&out, a, b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1234", "56", "bytes_in_per_second", "b: not run: memory ran out", "200 servers, 0 watches: only in a"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in %s", want, out.String())
		}
	}
}
