package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Bounds of the random service times and latenesses of a run.
const (
	lateLoadMaxServiceTime = 15 * time.Millisecond
	lateLoadMinLateness    = 1 * time.Millisecond
	lateLoadMaxLateness    = 8 * time.Millisecond
)

// TestLateAnswerLoad checks that clients that send requests without a pause get no answer to another
// request, and that no unsafe request is retried once it was executed, while servers send a share of their
// answers a second time, some milliseconds late. LATE_ANSWER_SEEDS ("7" or "1-50") and LATE_ANSWER_REQUESTS
// (per client) make it run longer.
func TestLateAnswerLoad(t *testing.T) {
	firstSeed, lastSeed, requests := 1, 1, 20
	if text := os.Getenv("LATE_ANSWER_SEEDS"); text != "" {
		first, last, isRange := strings.Cut(text, "-")
		if !isRange {
			last = first
		}
		if _, err := fmt.Sscan(first+" "+last, &firstSeed, &lastSeed); err != nil || firstSeed < 0 || firstSeed > lastSeed {
			t.Fatalf("LATE_ANSWER_SEEDS: %q is neither a seed nor a range of seeds", text)
		}
	}
	if text := os.Getenv("LATE_ANSWER_REQUESTS"); text != "" {
		if _, err := fmt.Sscan(text, &requests); err != nil || requests < 1 {
			t.Fatalf("LATE_ANSWER_REQUESTS: %q is not a positive number", text)
		}
	}
	for _, c := range []struct {
		servers, clients int
		secondShare      float64
	}{{1, 1, 1}, {2, 4, 0.2}, {4, 8, 1}, {4, 8, 0.2}, {12, 4, 0.05}} {
		for _, lateness := range []time.Duration{0, 5 * time.Millisecond, 8 * time.Millisecond} {
			name := fmt.Sprintf("servers=%d,clients=%d,doubled=%g,late=%v", c.servers, c.clients, c.secondShare, lateness)
			for seed := firstSeed; seed <= lastSeed; seed++ {
				t.Run(fmt.Sprintf("%s,seed=%d", strings.Replace(name, "=0s", "=drawn", 1), seed), func(t *testing.T) {
					l := &lateLoad{seed: uint64(seed), secondShare: c.secondShare, lateness: lateness,
						received: map[int]int{}, executed: map[int]int{}, statuses: map[int]int{}, gaps: map[int]time.Duration{}}
					l.run(t, c.servers, c.clients, requests)
				})
			}
		}
	}
}

// lateLoad is one run, with the counts that its servers and clients record.
type lateLoad struct {
	seed        uint64
	secondShare float64       // share of answers that are sent a second time
	lateness    time.Duration // of the second answers; 0: a random one for each

	mu            sync.Mutex
	connections   int
	answers       int             // sent by servers, second ones included
	received      map[int]int     // times servers received a request, by its number
	executed      map[int]int     // times servers executed a request, by its number
	receivedAgain int             // unsafe requests that a server received after one had executed them
	executedAgain int             // of these, those that were executed again
	secondDue     int             // second answers that were planned
	tooLate       int             // planned ones not sent, as the test was stalled beyond maxSecondAnswerDelay
	secondSent    int             // those written before the server saw that the agent had closed the connection
	delays        []time.Duration // of second answers beyond their lateness, measured after the write
	latencies     []time.Duration // measured by clients
	statuses      map[int]int     // answers that clients got, by status
	wrong         int             // answers with status 200 to another request that clients got
	wrongSecond   []int           // numbers of those that were second answers; these displaced the others

	// Time from the first answer to the second one, measured around both writes, by number of the second.
	gaps map[int]time.Duration

	// Histograms with buckets of one millisecond: second answers that were sent and that were served to another
	// request, by lateness; requests in all and those that got a second answer to another one, by service time.
	sentByLateness, wrongByLateness   [lateLoadMaxLateness/time.Millisecond + 1]int
	requestsByService, wrongByService [lateLoadMaxServiceTime / time.Millisecond]int
}

// lateLoadPlan describes how a server handles a request.
type lateLoadPlan struct {
	status                int // 200, 500, or 503 with Not-Started
	serviceTime, lateness time.Duration
	answerTwice           bool
}

// plan returns at random how a server handles a request that servers receive for the nth time. The result
// depends on the seed, the request and n, not on the order in which requests arrive.
func (l *lateLoad) plan(request, nth int) lateLoadPlan {
	rng := rand.New(rand.NewPCG(l.seed, uint64(request)<<8|uint64(nth)))
	p := lateLoadPlan{status: http.StatusOK, lateness: l.lateness, answerTwice: rng.Float64() < l.secondShare}
	p.serviceTime = time.Duration(rng.Int64N(int64(lateLoadMaxServiceTime)))
	if p.lateness == 0 {
		p.lateness = lateLoadMinLateness + time.Duration(rng.Int64N(int64(lateLoadMaxLateness-lateLoadMinLateness)))
	}
	switch x := rng.Float64(); {
	case x < 0.05:
		p.status = http.StatusServiceUnavailable
	case x < 0.07:
		p.status = http.StatusInternalServerError
	}
	return p
}

// run generates the load, checks the outcome and logs the counts.
func (l *lateLoad) run(t *testing.T, servers, clients, requests int) {
	var addrs []string
	for range servers {
		addrs = append(addrs, rawBackend(t, l.serve))
	}
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addrs...))
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for n := range requests {
				// Detects requests that never get a final answer.
				if err := l.call(transport, base, n*clients+client); err != nil {
					t.Errorf("request %d: %v", n*clients+client, err)
				}
			}
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Detects a second answer, or a first answer shifted by one, that is served to the next request.
	if l.wrong > 0 {
		t.Errorf("%d requests were answered 200 with the answer to another one", l.wrong)
	}
	// Detects retries of executed requests, caused by a stray 503 with Not-Started taken for the answer.
	if l.receivedAgain > 0 {
		t.Errorf("%d unsafe requests were received again after a server had executed them; %d were executed again",
			l.receivedAgain, l.executedAgain)
	}
	var wrongGaps []time.Duration
	for _, number := range l.wrongSecond {
		if gap, recorded := l.gaps[number]; recorded { // false if its write has not returned yet
			wrongGaps = append(wrongGaps, gap)
		}
	}
	slices.Sort(wrongGaps)
	slices.Sort(l.delays)
	slices.Sort(l.latencies)
	t.Logf("requests=%d second_due=%d second_sent=%d too_late=%d wrong=%d wrong_second=%d received_again=%d executed_again=%d",
		len(l.latencies), l.secondDue, l.secondSent, l.tooLate, l.wrong, len(l.wrongSecond), l.receivedAgain, l.executedAgain)
	t.Logf("connections=%d latency_p50=%v latency_p99=%v statuses=%v",
		l.connections, lateLoadQuantile(l.latencies, 0.5), lateLoadQuantile(l.latencies, 0.99), l.statuses)
	t.Logf("delay_p50=%v delay_p99=%v delay_max=%v above_2ms=%d above_5ms=%d above_12ms=%d",
		lateLoadQuantile(l.delays, 0.5), lateLoadQuantile(l.delays, 0.99), lateLoadQuantile(l.delays, 1),
		lateLoadCountAbove(l.delays, 2*time.Millisecond), lateLoadCountAbove(l.delays, 5*time.Millisecond),
		lateLoadCountAbove(l.delays, 12*time.Millisecond))
	t.Logf("wrong_gap_min=%v wrong_gap_p50=%v wrong_gap_max=%v", // for second answers served to another request
		lateLoadQuantile(wrongGaps, 0), lateLoadQuantile(wrongGaps, 0.5), lateLoadQuantile(wrongGaps, 1))
	t.Logf("by_lateness sent=%v wrong_second=%v", l.sentByLateness, l.wrongByLateness)
	t.Logf("by_service requests=%v wrong_second=%v", l.requestsByService, l.wrongByService)
}

// serve answers the requests of one connection.
func (l *lateLoad) serve(c net.Conn, r *bufio.Reader) {
	l.mu.Lock()
	l.connections++
	l.mu.Unlock()
	for {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		number, p := l.receive(req)
		time.Sleep(p.serviceTime)
		firstWriteStart := time.Now()
		if _, text := l.answer(number, p.status, 0); !lateLoadWrite(c, text) {
			return
		}
		if p.answerTwice {
			time.AfterFunc(p.lateness, func() { l.writeSecond(c, number, p, firstWriteStart) }) // other requests go on
		}
	}
}

// writeSecond answers a request a second time. The write of its first answer began at firstWriteStart.
func (l *lateLoad) writeSecond(c net.Conn, number int, p lateLoadPlan, firstWriteStart time.Time) {
	if time.Since(firstWriteStart) > maxSecondAnswerDelay {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tooLate++
		return
	}
	answer, text := l.answer(number, p.status, p.lateness)
	sent := lateLoadWrite(c, text)
	gap := time.Since(firstWriteStart)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gaps[answer] = gap
	l.delays = append(l.delays, gap-p.lateness)
	if sent { // otherwise the agent has closed the connection
		l.secondSent++
		l.sentByLateness[p.lateness/time.Millisecond]++
	}
}

// receive records a request that a server has received, and returns its number and the plan for it.
func (l *lateLoad) receive(req *http.Request) (number int, p lateLoadPlan) {
	fmt.Sscan(req.Header.Get("Request-Id"), &number)
	unsafe := strings.HasPrefix(req.URL.Path, "/order/")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[number]++
	p = l.plan(number, l.received[number])
	executes := p.status != http.StatusServiceUnavailable
	if unsafe && l.executed[number] > 0 {
		l.receivedAgain++
		if executes {
			l.executedAgain++
		}
	}
	if executes {
		l.executed[number]++
	}
	if p.answerTwice {
		l.secondDue++
	}
	return number, p
}

// answer returns an answer to a request and its sequence number. The body contains the number of the request,
// the sequence number, and the lateness in whole milliseconds, which is 0 only for the first answer.
func (l *lateLoad) answer(number, status int, lateness time.Duration) (answer int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	body := fmt.Sprintf("request %d answer %d late %d", number, l.answers, lateness/time.Millisecond)
	notStarted := ""
	if status == http.StatusServiceUnavailable {
		notStarted = "Not-Started: 1\r\n"
	}
	return l.answers, fmt.Sprintf("HTTP/1.1 %d -\r\n%sContent-Length: %d\r\n\r\n%s", status, notStarted, len(body), body)
}

// call sends a request of a random class and records the answer. It returns an error if that is not a final
// answer to a valid request.
func (l *lateLoad) call(transport *http.Transport, base string, number int) error {
	rng := rand.New(rand.NewPCG(l.seed, uint64(number)<<8)) // independent of the plans, whose nth begins at 1
	class := []string{"look", "send", "order"}[rng.IntN(3)]
	req := newCall(base, class)
	id := fmt.Sprint(number)
	req.URL.Path = "/" + class + "/" + id // a different key each, so that all servers get requests
	req.Header.Set("Request-Id", id)
	if class == "send" {
		req.Header.Set("Idempotency-Key", id)
	}
	// Without GetBody and with a body, net/http does not resend a request whose connection the agent closed, which
	// would hide the close.
	req.GetBody = nil
	if req.Body == nil {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	started := time.Now()
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("incomplete answer: %w", err)
	}
	latency := time.Since(started)
	serviceBucket := l.plan(number, 1).serviceTime / time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, latency)
	l.statuses[resp.StatusCode]++
	l.requestsByService[serviceBucket]++
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return nil
	default: // 504: not answered within its timeout; 4xx: misread
		return fmt.Errorf("answered %d", resp.StatusCode)
	}
	var answered, answer, lateness int
	if _, err := fmt.Sscanf(string(body), "request %d answer %d late %d", &answered, &answer, &lateness); err != nil {
		return errors.New("answered 200 with a body that no server sent")
	}
	if answered == number {
		return nil
	}
	l.wrong++
	if lateness > 0 {
		l.wrongSecond = append(l.wrongSecond, answer)
		l.wrongByLateness[lateness]++
		l.wrongByService[serviceBucket]++
	}
	return nil
}

// lateLoadWrite writes text to the connection and reports whether the write succeeded.
func lateLoadWrite(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// lateLoadQuantile returns the p-quantile of the sorted values, or 0 if there are none.
func lateLoadQuantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(p*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}

// lateLoadCountAbove returns how many of the values are above the limit.
func lateLoadCountAbove(values []time.Duration, limit time.Duration) (n int) {
	for _, v := range values {
		if v > limit {
			n++
		}
	}
	return n
}
