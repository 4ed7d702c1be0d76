package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results holds the measurements of one command. It is the content of a file in docs/capacity.
type Results struct {
	Experiment string    `json:"experiment"` // name of the experiment or benchmark
	Variant    string    `json:"variant"`    // distinguishes results of the same experiment, such as "before" and "after"
	Command    string    `json:"command"`    // command line that repeats the measurement
	Commit     string    `json:"commit"`
	Dirty      bool      `json:"dirty,omitempty"` // whether the working tree had uncommitted changes
	Seed       uint64    `json:"seed"`
	Machine    string    `json:"machine"` // processors, memory, Go version
	Started    time.Time `json:"started"`
	Runs       []Run     `json:"runs"`
}

// Run holds the measurements at one size of the fleet. A run that was not completed has NotRun set and
// holds the measurements up to that point.
type Run struct {
	Servers          int           `json:"servers"`            // listed servers
	Watches          int           `json:"watches"`            // readers, each with an open watch
	Services         int           `json:"services"`           // services that the servers belong to
	Subscribed       int           `json:"subscribed"`         // services that each reader subscribes to; 0: the full list
	ChangesPerSecond float64       `json:"changes_per_second"` // list changes under the load "steady"
	NotRun           string        `json:"not_run,omitempty"`  // why the run was not completed, in one line
	Measurements     []Measurement `json:"measurements"`
}

// Measurement is one measured value of one role under one load. Metric names have their unit as a
// suffix: cpu_cores, rss_mb, bytes_in_per_second, change_p99_ms, recovered_s.
type Measurement struct {
	Role   string  `json:"role"` // "agent", "hollow agent", "steward leader", "steward follower", "readers", "requests"
	Load   string  `json:"load"` // "first start", "steady", "leader killed", "zone lost", ...
	Metric string  `json:"metric"`
	Value  float64 `json:"value"`
}

// Add appends a measurement to the run.
func (r *Run) Add(role, load, metric string, value float64) {
	r.Measurements = append(r.Measurements, Measurement{Role: role, Load: load, Metric: metric, Value: value})
}

// Write writes the results to path as indented JSON. It creates the folder if needed.
func Write(path string, results *Results) error {
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("results folder: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

// Read reads results written by Write. It returns an error that names the key if a key is unknown.
func Read(path string) (*Results, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	var results Results
	if err := decoder.Decode(&results); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &results, nil
}
