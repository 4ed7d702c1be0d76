package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// erasedWrites is the number of writes before the first round. With the default of snapshot_every, the log may
	// hold more than 8,192 entries.
	erasedWrites = 4_000
	// erasedRounds is the number of times that the data folder of one server is lost.
	erasedRounds = 10
	// erasedTime is the time after which no further round begins.
	erasedTime = 85 * time.Second
)

// playErased plays a control plane of three servers that are restarted together, one of them without its data
// folder. Before that, a write was acknowledged while another server was down.
func playErased(r *run) (broken string, err error) {
	begin := time.Now()
	c, err := newControlPlane(r)
	if err != nil {
		return "", err
	}
	defer c.kill(c.names...)
	leader, err := c.awaitHealthy()
	if err != nil {
		return "", err
	}
	if err := c.fill(leader); err != nil {
		return "", err
	}
	r.rec.log("writes: %d registrations acknowledged by %s", erasedWrites, leader)
	erased := c.others(leader)[0]
	for round := 1; round <= erasedRounds && time.Since(begin) < erasedTime; round++ {
		if leader, err = c.leaderOtherThan(erased); err != nil {
			return "", err
		}
		lost, err := c.playRound(round, erased, leader)
		if err != nil {
			return "", fmt.Errorf("round %d: %w", round, err)
		}
		if lost {
			return fmt.Sprintf("round %d: a write that %s had acknowledged is lost", round, leader), nil
		}
	}
	return "", nil
}

// fill writes erasedWrites registrations, as of 192 servers that restart again and again.
func (c *controlPlane) fill(leader string) error {
	const writers, serversPerWriter = 16, 12
	var running sync.WaitGroup
	failed := make(chan error, writers)
	for w := range writers {
		running.Go(func() {
			for i := range erasedWrites / writers {
				if err := c.registerWithRetry(leader, fmt.Sprintf("s-%d-%d", w, i%serversPerWriter), 1000+i); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	running.Wait()
	close(failed)
	return <-failed
}

// registerWithRetry registers a programme server, and tries again for 10 s if there is no leader.
func (c *controlPlane) registerWithRetry(via, name string, bornMs int) (err error) {
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		err = c.register(via, name, bornMs)
		var answer *httpError
		if err == nil || !errors.As(err, &answer) || answer.status != http.StatusServiceUnavailable {
			return err
		}
	}
	return err
}

// leaderOtherThan waits until the control plane is healthy and another server than the named one leads.
func (c *controlPlane) leaderOtherThan(name string) (string, error) {
	for range 10 {
		leader, err := c.awaitHealthy()
		if err != nil || leader != name {
			return leader, err
		}
		c.kill(name)
		time.Sleep(2 * time.Second)
		if err := c.start(name); err != nil {
			return "", err
		}
	}
	return "", errors.New("the server to erase led again and again")
}

// playRound has one write acknowledged by the leader and the server to erase, while the third one is down. Then
// all are down, the data folder of one is lost, and all are started together. It reports whether the write is lost.
func (c *controlPlane) playRound(round int, erased, leader string) (lost bool, err error) {
	lagging := c.others(leader)[0]
	if lagging == erased {
		lagging = c.others(leader)[1]
	}
	rec, name := c.r.rec, fmt.Sprintf("acknowledged-%d", round)
	c.kill(lagging)
	if err := c.registerWithRetry(leader, name, 1); err != nil {
		return false, fmt.Errorf("the write: %w", err)
	}
	rec.log("round %d: %s is down; %s acknowledged the registration of %s", round, lagging, leader, name)
	c.kill(erased, leader)
	if c.r.trouble {
		if err := os.RemoveAll(c.data(erased)); err != nil {
			return false, err
		}
		rec.log("round %d: all servers are down; the data folder of %s is lost", round, erased)
	}
	logged := c.logSize(erased)
	for _, server := range []string{leader, lagging, erased} {
		if err := c.start(server); err != nil {
			return false, err
		}
	}
	next, err := c.awaitLeader()
	if err != nil {
		return false, err
	}
	rec.log("round %d: all were started together; %s leads; %s says of its start:\n%s", round, next, erased, c.startLines(erased, logged))
	return c.isLost(round, name)
}

// isLost reads the acknowledged write until a consistent read has an answer.
func (c *controlPlane) isLost(round int, name string) (lost bool, err error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, via := range c.names {
			err = call(http.MethodGet, c.http[via], "/v1/servers/"+name+"?consistent=1", nil, nil)
			var answer *httpError
			if err == nil {
				c.r.rec.log("round %d: %s has %s", round, via, name)
				return false, nil
			}
			if errors.As(err, &answer) && answer.status == http.StatusNotFound {
				c.r.rec.log("round %d: a consistent read of %s through %s says %v", round, name, via, err)
				return true, nil
			}
		}
	}
	return false, fmt.Errorf("no consistent read within 20 s: %w", err)
}

// logSize returns the size of a server's log.
func (c *controlPlane) logSize(name string) int {
	text, _ := os.ReadFile(c.log(name))
	return len(text)
}

// startLines returns the lines of a server's log after an offset that tell how it started.
func (c *controlPlane) startLines(name string, offset int) []byte {
	text, _ := os.ReadFile(c.log(name))
	var lines [][]byte
	for line := range bytes.Lines(text[min(offset, len(text)):]) {
		if bytes.Contains(line, []byte("data folder")) || bytes.Contains(line, []byte("initial configuration")) || bytes.Contains(line, []byte("msg=started")) {
			lines = append(lines, bytes.TrimSpace(line))
		}
	}
	return bytes.Join(lines, []byte("\n"))
}
