package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Progress is the state of a run in progress.
type Progress struct {
	Phase          string   `json:"phase"` // phaseStarting, phaseRunning or phaseEnding
	ElapsedSeconds float64  `json:"elapsed_s"`
	TotalSeconds   float64  `json:"total_s"`
	Requests       int      `json:"asked"`
	InTime         int      `json:"in_time"`
	Late           int      `json:"late"`
	Rejected       int      `json:"refused"`
	Failed         int      `json:"failed"`
	Breaches       int      `json:"breaches"`
	ActiveFaults   []string `json:"faults"` // names of the faults in progress
}

// The phases of a run.
const (
	phaseStarting = "starting"
	phaseRunning  = "running"
	phaseEnding   = "ending"
)

const (
	progressInterval = 250 * time.Millisecond
	// descriptorCheckEvery is the number of progress reports per count of the open descriptors.
	descriptorCheckEvery = 4
)

// serveStatus serves the progress of the run as JSON over HTTP if the file sets an address for it.
func (r *run) serveStatus() error {
	if r.config.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	r.status = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		progress := r.lastProgress
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(progress)
	})}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		_ = r.status.Serve(listener)
	}()
	return nil
}

// reportProgress publishes the progress periodically until the context ends.
func (r *run) reportProgress(ctx context.Context) {
	for n := 0; sleep(ctx, progressInterval); n++ {
		r.publishProgress(phaseRunning)
		if n%descriptorCheckEvery == 0 {
			r.peakDescriptors = max(r.peakDescriptors, openDescriptors())
		}
	}
}

// publishProgress updates the progress that is served over HTTP and passes it to the callback of the
// caller of Run.
func (r *run) publishProgress(phase string) {
	tally := r.fleets[0].currentTally()
	_, breaches := r.fleets[0].checker.Breaches()
	progress := Progress{Phase: phase, TotalSeconds: r.config.Duration.Seconds(), Requests: tally.Requests, InTime: tally.InTime,
		Late: tally.Late, Rejected: tally.Rejected, Failed: tally.Failed, ActiveFaults: []string{}}
	if r.loadStart > 0 {
		progress.ElapsedSeconds = min(max((r.clock()-r.loadStart).Seconds(), 0), progress.TotalSeconds)
	}
	for _, n := range breaches {
		progress.Breaches += n
	}
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.plannedAt(progress.ElapsedSeconds) {
			progress.ActiveFaults = append(progress.ActiveFaults, f.Name)
		}
	}
	r.mu.Lock()
	r.lastProgress = progress
	r.mu.Unlock()
	if r.progress != nil {
		r.progress(progress)
	}
}

// plannedAt reports whether a fault is planned to be in progress at a time of the run. A fault that waits
// for an event has no planned time.
func (f *Fault) plannedAt(elapsedSeconds float64) bool {
	return f.AfterEvent == "" && elapsedSeconds >= f.At.Seconds() && elapsedSeconds < (f.At+max(f.Duration, time.Second)).Seconds()
}
