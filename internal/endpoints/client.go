package endpoints

import (
	"bufio"
	"bytes"
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// OthersHeader says in a watch how many other addresses the reader can go to: the service
// may send it there. A reader that doesn't say so is left where it is.
const OthersHeader = "Other-Addresses"

// MemberHeader names the reader in a watch, and LifeHeader its present life, where a reader
// wants to be known as present.
const (
	MemberHeader = "Member-Name"
	LifeHeader   = "Member-Life"
	MembersPath  = "/v1/members"
)

const (
	// Silence ends a watch on which no line came: the service writes one every 2 s, and
	// what it has to tell counts as told after 6 s, asking again included.
	Silence      = 3500 * time.Millisecond
	fetchTimeout = 3 * time.Second
	maxList      = 4 << 20 // bytes of one list
)

// ClientConfig is what a reader of the list is told.
type ClientConfig struct {
	Addresses  []string
	Order      uint64        // an order of the reader's own
	Fleet      int           // how many readers share the service
	Silence    time.Duration // 0: as above
	Member     string        // the name under which the reader is known as present; "": under none
	NeverOlder bool          // a list older than what the reader has is an address's failure
	Transport  http.RoundTripper
	// Failover hears why an address was left, if it is not nil. It may be called often.
	Failover func(addr string, err error)
}

// Client reads the list from one of several addresses. A fetch and a watch may run beside
// each other.
type Client struct {
	c     ClientConfig
	http  *http.Client
	began time.Time
	life  string

	mu     sync.Mutex
	choose *Chooser
	at     string             // the address of the watch
	leave  context.CancelFunc // ends the call of the watch
}

var (
	errSilent = errors.New("silent for too long")
	errLong   = fmt.Errorf("a list of over %d bytes", maxList)
	errOlder  = errors.New("older than the list at hand")
	errBehind = errors.New("behind, or without a list of now")
	errLeft   = errors.New("no longer one of the addresses")
	errBusy   = errors.New("too many calls there")
	errEnded  = errors.New("the watch was ended in order")
)

// NewClient makes a client.
func NewClient(c ClientConfig) *Client {
	if c.Silence <= 0 {
		c.Silence = Silence
	}
	if c.Transport == nil {
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for the service.
		c.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	return &Client{c: c, http: &http.Client{Transport: c.Transport}, began: time.Now(),
		life: crand.Text(), choose: NewChooser(c.Addresses, c.Order, c.Fleet)}
}

// Set changes the addresses. A watch at one that is no longer there goes elsewhere.
func (c *Client) Set(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choose.Set(addrs)
	if c.leave != nil && !c.choose.Has(c.at) {
		c.leave()
	}
}

// Held is how often the budget for calls was spent.
func (c *Client) Held() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choose.Held()
}

// Fetch asks for the whole list once, at one address after the other.
func (c *Client) Fetch(ctx context.Context, least int64) (List, error) {
	var l List
	err := c.round(ctx, func(addr string) error {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		body, err := c.get(ctx, addr, "")
		if err != nil {
			return err
		}
		defer body.Close()
		text, err := io.ReadAll(io.LimitReader(body, maxList))
		if err != nil {
			return err
		}
		if l, err = Parse(text); err != nil {
			return err
		}
		if c.c.NeverOlder && l.Seq < least {
			return errOlder
		}
		c.served(addr)
		return nil
	})
	return l, err
}

// Watch follows the changes after a version, from address to address, until the round is
// over, and tells why the last one ended.
func (c *Client) Watch(ctx context.Context, since int64, heard func(List)) error {
	err := c.round(ctx, func(addr string) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		c.mu.Lock()
		c.at, c.leave = addr, func() { cancel(errLeft) }
		c.mu.Unlock()
		defer func() {
			c.mu.Lock()
			c.at, c.leave = "", nil
			c.mu.Unlock()
		}()
		dead := time.AfterFunc(c.c.Silence, func() { cancel(errSilent) })
		defer dead.Stop()
		err := c.follow(ctx, addr, &since, func() { dead.Reset(c.c.Silence) }, heard)
		if cause := context.Cause(ctx); cause != nil && !errors.Is(err, errOlder) {
			err = cause
		}
		return err
	})
	return err
}

// follow is one watch at one address. Its end is never nil: in order it is errEnded.
func (c *Client) follow(ctx context.Context, addr string, since *int64, alive func(), heard func(List)) error {
	body, err := c.get(ctx, addr, "?follow=1&since="+strconv.FormatInt(*since, 10))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxList)
	var o object
	for lines.Scan() {
		whole, err := o.add(lines.Bytes())
		if err != nil {
			return fmt.Errorf("line: %w", err)
		}
		if whole {
			l, err := Parse(o.text)
			if err != nil {
				return fmt.Errorf("line: %w", err)
			}
			o.reset()
			if c.c.NeverOlder && l.Seq < *since {
				return errOlder
			}
			*since = l.Seq
			c.served(addr)
			heard(l)
		}
		if len(o.text) == 0 {
			alive() // a list that comes line by line and never ends is no sign of life
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errEnded
}

// object gathers the lines of one JSON object, which may be written indented.
type object struct {
	text   []byte
	depth  int  // of braces and brackets
	quoted bool // in a string
}

// add takes the next line and tells whether the object is whole with it. An empty line
// between objects is none.
func (o *object) add(line []byte) (whole bool, err error) {
	line = bytes.TrimSpace(line)
	if len(o.text)+len(line) > maxList {
		return false, errLong
	}
	o.text = append(o.text, line...)
	for i := 0; i < len(line); i++ {
		switch b := line[i]; {
		case o.quoted && b == '\\':
			i++
		case b == '"':
			o.quoted = !o.quoted
		case o.quoted:
		case b == '{' || b == '[':
			o.depth++
		case b == '}' || b == ']':
			o.depth--
		}
	}
	// What is no object at all is for the parser to refuse.
	return len(line) > 0 && (o.depth <= 0 || o.text[0] != '{' || o.quoted), nil
}

func (o *object) reset() { *o = object{text: o.text[:0]} }

// Leave tells the service that the reader ends as planned, at one address.
func (c *Client) Leave(ctx context.Context) error {
	if c.c.Member == "" {
		return nil
	}
	c.mu.Lock()
	addr := c.at
	if addr == "" {
		c.choose.Begin()
		addr, _, _ = c.choose.Next(time.Since(c.began), 0)
	}
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+MembersPath+"/"+c.c.Member, nil)
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	req.Header.Set(LifeHeader, c.life)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	resp.Body.Close()
	return nil
}

// round makes calls until one needs no other after it.
func (c *Client) round(ctx context.Context, call func(addr string) error) error {
	c.mu.Lock()
	c.choose.Begin()
	c.mu.Unlock()
	last := errors.New("no address")
	for {
		c.mu.Lock()
		addr, wait, ok := c.choose.Next(time.Since(c.began), rand.Float64())
		c.mu.Unlock()
		if !ok {
			return last
		}
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return ctx.Err()
			}
		}
		err := call(addr)
		if err == nil || ctx.Err() != nil {
			return err
		}
		how, retry := end(err)
		c.mu.Lock()
		c.choose.Ended(time.Since(c.began), addr, how, retry)
		several := c.choose.Others() > 0
		c.mu.Unlock()
		last = err
		if several {
			last = fmt.Errorf("%s: %w", addr, err)
			if c.c.Failover != nil {
				c.c.Failover(addr, err)
			}
		}
	}
}

func (c *Client) served(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choose.Served(addr)
}

// away is an answer that sends the reader away for a time.
type away struct{ after time.Duration }

func (a *away) Error() string { return fmt.Sprintf("%v: come back in %v", errBusy, a.after) }

func end(err error) (End, time.Duration) {
	var a *away
	switch {
	case errors.As(err, &a):
		return Busy, a.after
	case errors.Is(err, errOlder), errors.Is(err, errBehind):
		return Behind, 0
	case errors.Is(err, errEnded):
		return Moved, 0
	}
	return Failed, 0
}

func (c *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path+query, nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	others := c.choose.Others()
	c.mu.Unlock()
	if others > 0 {
		req.Header.Set(OthersHeader, strconv.Itoa(others))
	}
	if c.c.Member != "" {
		req.Header.Set(MemberHeader, c.c.Member)
		req.Header.Set(LifeHeader, c.life)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		seconds, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		switch {
		case others == 0 || resp.StatusCode != http.StatusServiceUnavailable || bad != nil || !(seconds >= 0) || seconds > 1e6:
			return nil, errors.New(resp.Status)
		case resp.Header.Get("Not-Applied") != "":
			return nil, &away{time.Duration(seconds * float64(time.Second))}
		}
		return nil, errBehind
	}
	return resp.Body, nil
}
