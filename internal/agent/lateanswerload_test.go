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

// Bounds of what a run draws.
const (
	lateLoadMaxServiceTime = 15 * time.Millisecond
	lateLoadMinLateness    = 1 * time.Millisecond
	lateLoadMaxLateness    = 8 * time.Millisecond
)

// TestLateAnswerLoad has servers send a share of their answers a second time, some milliseconds late,
// while clients call again at once. LATE_ANSWER_SEEDS ("7" or "1-50") and LATE_ANSWER_REQUESTS (of each
// client) make it run longer.
func TestLateAnswerLoad(t *testing.T) {
	firstSeed, lastSeed, requests := 1, 1, 20
	if text := os.Getenv("LATE_ANSWER_SEEDS"); text != "" {
		first, last, isRange := strings.Cut(text, "-")
		if !isRange {
			last = first
		}
		if _, err := fmt.Sscan(first+" "+last, &firstSeed, &lastSeed); err != nil || firstSeed < 0 || firstSeed > lastSeed {
			t.Fatalf("LATE_ANSWER_SEEDS: %q is no seed and no range of seeds", text)
		}
	}
	if text := os.Getenv("LATE_ANSWER_REQUESTS"); text != "" {
		if _, err := fmt.Sscan(text, &requests); err != nil || requests < 1 {
			t.Fatalf("LATE_ANSWER_REQUESTS: %q is no number above 0", text)
		}
	}
	for _, c := range []struct {
		servers, clients int
		doubled          float64
	}{{1, 1, 1}, {2, 4, 0.2}, {4, 8, 1}, {4, 8, 0.2}, {12, 4, 0.05}} {
		for _, lateness := range []time.Duration{0, 5 * time.Millisecond, 8 * time.Millisecond} {
			name := fmt.Sprintf("servers=%d,clients=%d,doubled=%g,late=%v", c.servers, c.clients, c.doubled, lateness)
			for seed := firstSeed; seed <= lastSeed; seed++ {
				t.Run(fmt.Sprintf("%s,seed=%d", strings.Replace(name, "=0s", "=drawn", 1), seed), func(t *testing.T) {
					l := &lateLoad{seed: uint64(seed), doubled: c.doubled, lateness: lateness,
						received: map[int]int{}, executed: map[int]int{}, statuses: map[int]int{}, gaps: map[int]time.Duration{}}
					l.run(t, c.servers, c.clients, requests)
				})
			}
		}
	}
}

// lateLoad is one run, and what its servers and clients saw.
type lateLoad struct {
	seed     uint64
	doubled  float64       // the share of answers that are sent a second time
	lateness time.Duration // of the second answers; 0: drawn for each

	mu            sync.Mutex
	connections   int
	answers       int             // by servers, second ones included
	received      map[int]int     // by request: how often servers received it
	executed      map[int]int     // by request: how often servers executed it
	receivedAgain int             // unsafe requests that were received after a server had executed them
	executedAgain int             // those of them that were executed again
	secondDue     int             // second answers that servers were to send
	tooLate       int             // those that were not sent, as the test was held up for longer than maxSecondAnswerDelay
	secondSent    int             // those that went out before the agent's close of the connection was seen
	delays        []time.Duration // of second answers beyond their lateness, until the write has returned
	latencies     []time.Duration // at clients
	statuses      map[int]int     // at clients
	wrong         int             // answers with status 200 that clients got to another request
	wrongSecond   []int           // those that were second answers, by number; others are first ones, which these displaced

	// By number of a second answer: how long after the first one it was sent, measured around both writes.
	gaps map[int]time.Duration

	// By whole milliseconds: second answers sent and taken for another's answer, by their lateness; requests,
	// and those that got a second answer to another one, by the service time that their own answer takes.
	sentByLateness, wrongByLateness   [lateLoadMaxLateness/time.Millisecond + 1]int
	requestsByService, wrongByService [lateLoadMaxServiceTime / time.Millisecond]int
}

// lateLoadPlan is what a server does with a request.
type lateLoadPlan struct {
	status                int // 200, 500, or 503 with Not-Started
	serviceTime, lateness time.Duration
	doubled               bool
}

// plan draws what a server does with a request when servers receive it for the nth time. It depends on the
// seed, and not on the order in which requests come.
func (l *lateLoad) plan(request, nth int) lateLoadPlan {
	rng := rand.New(rand.NewPCG(l.seed, uint64(request)<<8|uint64(nth)))
	p := lateLoadPlan{status: http.StatusOK, lateness: l.lateness, doubled: rng.Float64() < l.doubled}
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

// run plays the load, and checks and logs what came of it.
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
				// Guards against requests that never get a final answer.
				if err := l.call(transport, base, n*clients+client); err != nil {
					t.Errorf("request %d: %v", n*clients+client, err)
				}
			}
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Guards against a second answer, or one that it displaced, being served to the next request.
	if l.wrong > 0 {
		t.Errorf("%d requests were answered 200 with the answer to another one", l.wrong)
	}
	// Guards against retries because a stray 503 with Not-Started was taken for the answer.
	if l.receivedAgain > 0 {
		t.Errorf("%d unsafe requests were received again after a server had executed them; %d were executed again",
			l.receivedAgain, l.executedAgain)
	}
	var wrongGaps []time.Duration
	for _, number := range l.wrongSecond {
		if gap, recorded := l.gaps[number]; recorded { // not yet, if it was sent in this moment
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
	t.Logf("wrong_gap_min=%v wrong_gap_p50=%v wrong_gap_max=%v", // of the second answers that were served to another request
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
		if p.doubled {
			time.AfterFunc(p.lateness, func() { l.writeSecond(c, number, p, firstWriteStart) }) // requests go on meanwhile
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
	if sent { // else the agent has closed the connection
		l.secondSent++
		l.sentByLateness[p.lateness/time.Millisecond]++
	}
}

// receive records a request at a server, and returns its number and what the server does with it.
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
	if p.doubled {
		l.secondDue++
	}
	return number, p
}

// answer returns an answer to a request, and its running number. Its body names the request, the running
// number, and the lateness in whole ms, which is 0 for the first answer only.
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

// call sends a request of a drawn class and records its answer. It returns an error if that is no final
// answer to a valid request.
func (l *lateLoad) call(transport *http.Transport, base string, number int) error {
	rng := rand.New(rand.NewPCG(l.seed, uint64(number)<<8)) // no plan draws from it: nth begins at 1
	class := []string{"look", "send", "order"}[rng.IntN(3)]
	req := newCall(base, class)
	id := fmt.Sprint(number)
	req.URL.Path = "/" + class + "/" + id // another key each, so that all servers get requests
	req.Header.Set("Request-Id", id)
	if class == "send" {
		req.Header.Set("Idempotency-Key", id)
	}
	// With a body that can't be had again, net/http does not hide that the agent closed the connection over
	// a request: it would send it again.
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
		return fmt.Errorf("no whole answer: %w", err)
	}
	latency := time.Since(started)
	serviceMs := l.plan(number, 1).serviceTime / time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, latency)
	l.statuses[resp.StatusCode]++
	l.requestsByService[serviceMs]++
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return nil
	default: // 504: nothing came of the request in all of its time; 4xx: it was misread
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
		l.wrongByService[serviceMs]++
	}
	return nil
}

// lateLoadWrite reports whether the connection took the text.
func lateLoadWrite(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// lateLoadQuantile returns the value at the share p of the sorted values; 0 if there are none.
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
