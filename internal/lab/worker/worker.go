// Package worker is a process that holds duties and acts under them, at places that look at
// the fence: what shows that no two of them act at one time.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/leaderelection"
)

// Config is a worker.
type Config struct {
	Name   string
	Zone   string
	At     []string // HTTP addresses of stewards
	Places []string // where acts land; each duty has one of them for good
	Cap    int
	Rate   float64 // of its clock, as a share of the machine's
}

const (
	callWait = 15 * time.Second
	actWait  = 300 * time.Millisecond
	actEvery = 5 * time.Millisecond
)

// Monotonic is the machine's one clock, which all processes on it read alike.
func Monotonic() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0, fmt.Errorf("monotonic clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// driftClock runs at another rate than the machine's.
type driftClock struct {
	began time.Time
	rate  float64
}

func (c driftClock) Now() time.Duration { return time.Duration(float64(time.Since(c.began)) * c.rate) }

func (c driftClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(float64(d) / c.rate))
	return t.C, t.Stop
}

// Run holds duties until the context ends. "work" duties act as long as they may, "idle" ones
// do nothing, "fail" ones fail at once, and "kill" ones end the process.
func Run(ctx context.Context, c Config, log *slog.Logger) {
	client := &http.Client{Timeout: actWait}
	work := func(ctx context.Context, name string, fence int64) error {
		url := "http://" + c.Places[int(place(name))%len(c.Places)] + "/admin/act"
		for ctx.Err() == nil {
			mono, err := Monotonic()
			if err != nil {
				return err
			}
			if ctx.Err() != nil { // looked at the worker's clock after the machine's
				return nil
			}
			text, err := json.Marshal(check.Operation{Task: name, Process: c.Name, Fence: fence, Mono: mono})
			if err != nil {
				return err
			}
			if resp, err := client.Post(url, "application/json", bytes.NewReader(text)); err == nil {
				resp.Body.Close()
			}
			time.Sleep(actEvery)
		}
		return nil
	}
	r := leaderelection.NewRunner(leaderelection.Config{Process: c.Name, Zone: c.Zone, MaxTasks: c.Cap, Service: control.NewClient(c.At, callWait),
		Log: log, Clock: driftClock{time.Now(), c.Rate},
		Functions: map[string]leaderelection.Function{"work": work,
			"idle": func(ctx context.Context, _ string, _ int64) error { <-ctx.Done(); return nil },
			"fail": func(context.Context, string, int64) error { return errors.New("it fails") },
			"kill": func(context.Context, string, int64) error { os.Exit(3); return nil }}})
	r.Run(ctx)
}

func place(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32() >> 8
}
