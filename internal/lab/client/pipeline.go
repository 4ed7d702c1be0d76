package client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"knotrouter/internal/lab/check"
)

// Pipeline describes requests that a client sends on one separate connection, beside its regular ones,
// without waiting for answers.
type Pipeline struct {
	Arrivals []Arrival
	// SplitPause is the pause in the middle of the bytes; 0: all bytes are written at once.
	SplitPause time.Duration
}

// SendPipelined sends all requests on one new connection before it reads the first answer, and records the
// outcome of each. If the connection ends before a request's answer, and no server received anything of
// the request, its execution has not begun: the outcome is void, because its client may send it again.
func (c *Client) SendPipelined(pipeline Pipeline) {
	agent, ok := c.sender.(*AgentSender)
	if !ok {
		return
	}
	conn, err := net.DialTimeout("tcp", agent.Addr, agentConnectTimeout)
	if err != nil {
		return
	}
	agent.pool.all.Add(conn)
	defer agent.pool.drop(&pooledConn{Conn: conn})
	var requests []*check.Request
	var text bytes.Buffer
	waitUntil := c.env.Clock()
	for i := range pipeline.Arrivals {
		a := &pipeline.Arrivals[i]
		r := c.newPipelinedRequest(a, pipeline.SplitPause, &text)
		requests = append(requests, r)
		waitUntil = max(waitUntil, r.Deadline+c.env.WaitSlack)
	}
	_ = conn.SetDeadline(c.env.Epoch.Add(waitUntil))
	sent := writeInTwo(conn, text.Bytes(), pipeline.SplitPause)
	c.readPipelined(bufio.NewReader(conn), requests, sent)
}

// newPipelinedRequest adds a request to the checker, and its bytes to text. The request is planned for the end
// of the pause.
func (c *Client) newPipelinedRequest(a *Arrival, pause time.Duration, text *bytes.Buffer) *check.Request {
	class := &c.env.Load.Classes[a.Class]
	key := ""
	if class.Effect != EffectIdempotent {
		key = formatIdempotencyKey(a.Seed)
	}
	r := c.newRequest(a, class, key, c.env.Clock()+pause, class.Deadline)
	header := http.Header{headerRequestID: {r.ID}, headerRequestTimeout: {formatTimeout(class.Deadline)}, "User-Agent": {""}}
	if key != "" {
		header[headerIdempotencyKey] = []string{key}
	}
	c.env.Checker.Add(r)
	c.attempts.Add(1)
	_ = (&call{request: r, header: header}).httpRequest().Write(text)
	return r
}

// writeInTwo writes a text in two parts with a pause between them. It reports whether all of it was
// written.
func writeInTwo(w io.Writer, text []byte, pause time.Duration) bool {
	half := len(text)
	if pause > 0 {
		half /= 2
	}
	if _, err := w.Write(text[:half]); err != nil {
		return false
	}
	time.Sleep(pause)
	_, err := w.Write(text[half:])
	return err == nil
}

// streamState tells whether more answers can arrive on a connection.
type streamState uint8

// The states of a stream.
const (
	streamOpen     streamState = iota
	streamEnded                // the agent has ended the stream, or announced its end
	streamTimedOut             // nothing arrived until the deadline
)

// readPipelined reads the answers to requests in order, and records the outcome of each request.
func (c *Client) readPipelined(r *bufio.Reader, requests []*check.Request, sent bool) {
	state := streamOpen
	for i, request := range requests {
		answer := check.Answer{Outcome: check.Unanswered, Sent: sent, NewConnection: i == 0}
		if state == streamOpen {
			state = readPipelinedAnswer(r, &answer)
		}
		answer.ExtraBytes = i == len(requests)-1 && r.Buffered() > 0
		answer.At = c.env.Clock()
		answer.Closed = answer.Outcome == check.Unanswered && state == streamEnded
		if received, _ := request.Attempts(); received == 0 && answer.Closed {
			answer.Outcome = check.Void
		}
		c.env.Checker.RecordAnswer(request, answer)
	}
}

// readPipelinedAnswer reads one answer, and returns the state of the stream after it.
func readPipelinedAnswer(r *bufio.Reader, answer *check.Answer) streamState {
	if _, err := r.Peek(1); err != nil {
		return streamStateAfter(err)
	}
	answer.Partial = true
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return streamStateAfter(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return streamStateAfter(err)
	}
	answer.Body, answer.Outcome = string(body), outcomeOf(response.StatusCode)
	if response.Close {
		return streamEnded
	}
	return streamOpen
}

// streamStateAfter returns the state of a stream after a read error.
func streamStateAfter(err error) streamState {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return streamTimedOut
	}
	return streamEnded
}

// HoldConnections opens connections to the agent, writes the text on each, and closes them when done is
// closed. It returns how many could be opened.
func (c *Client) HoldConnections(count int, text string, done <-chan struct{}) (opened int) {
	agent, ok := c.sender.(*AgentSender)
	if !ok {
		return 0
	}
	var conns []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp", agent.Addr, agentConnectTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, text)
	}
	<-done
	for _, conn := range conns {
		conn.Close()
	}
	return len(conns)
}
