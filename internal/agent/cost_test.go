package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/cost"
)

// profiledServers returns the numbers of known servers to measure with: those in AGENT_SERVERS, separated by
// commas, or a default.
func profiledServers(b *testing.B) []int {
	b.Helper()
	text := os.Getenv("AGENT_SERVERS")
	if text == "" {
		return []int{20, 200, 2000, 10000, 39000}
	}
	var counts []int
	for field := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			b.Fatalf("AGENT_SERVERS: %v", err)
		}
		counts = append(counts, n)
	}
	return counts
}

// BenchmarkAgentCall makes sequential calls through an agent that knows the given number of servers. In a CPU
// profile, samples of the callers and the emulated servers carry a label, so that they can be excluded:
//
//	go test ./internal/agent -run '^$' -bench AgentCall/servers=39000 -benchtime 5000x -cpuprofile cpu.pprof
//	go tool pprof -top -tagignore role=lab agent.test cpu.pprof
func BenchmarkAgentCall(b *testing.B) {
	for _, servers := range profiledServers(b) {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkCalls(b, servers) })
	}
}

func benchmarkCalls(b *testing.B, servers int) {
	b.Helper()
	var fleet *cost.Fleet
	var err error
	withLabLabel(func() { fleet, err = cost.NewFleet(servers) })
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	base := startCostAgent(b, fleet)
	for fleet.Counters.OpenWatches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	withLabLabel(func() { callRepeatedly(b, base) })
}

// withLabLabel runs f with the profiler label of the lab, which goroutines started by f inherit.
func withLabLabel(f func()) {
	pprof.Do(context.Background(), pprof.Labels(cost.LabLabel, cost.LabValue), func(context.Context) { f() })
}

// startCostAgent serves an agent with the configuration of the cost measurement.
func startCostAgent(b *testing.B, fleet *cost.Fleet) (base string) {
	b.Helper()
	text, err := fleet.AgentConfig("127.0.0.1:0", 1)
	if err != nil {
		b.Fatal(err)
	}
	config, err := ParseConfig(text)
	if err != nil {
		b.Fatal(err)
	}
	a, err := New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Serve(ctx, ln)
	}()
	b.Cleanup(func() {
		stop()
		<-done
	})
	return "http://" + ln.Addr().String()
}

func callRepeatedly(b *testing.B, base string) {
	b.Helper()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	succeeded := 0
	b.ResetTimer()
	for i := range b.N {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/%s/%x", base, cost.CallClass, i%2000), nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Request-Id", strconv.Itoa(i))
		req.Header.Set("Request-Timeout", "5000m")
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			succeeded++
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(succeeded)/float64(b.N), "served/call")
}
