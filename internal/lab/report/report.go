// Package report writes the results of an experiment: a JSON summary for programs, a page and plots for
// people, tables for the terminal, and the comparison of two results.
//
// A results folder has the files summary.json, report.md and one PNG file for each plot. Scripts read
// these files and the result line, so their formats must not change.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"knotrouter/internal/lab/experiment"
)

// The files of a results folder, apart from the plots.
const (
	summaryFile = "summary.json"
	pageFile    = "report.md"
)

// Write writes the summary, the page and the plots into a folder, which must exist. The summary must
// have at least one fleet.
func Write(dir string, s *experiment.Summary) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := writeFileAtomic(filepath.Join(dir, summaryFile), append(text, '\n')); err != nil {
		return err
	}
	plots, err := Plots(dir, s)
	if err != nil {
		return err
	}
	page, err := Page(s, plots)
	if err != nil {
		return err
	}
	return writeFileAtomic(filepath.Join(dir, pageFile), page)
}

// writeFileAtomic replaces a file by renaming a temporary file. If the write fails, for example on a full
// disk, the old file is kept.
func writeFileAtomic(path string, text []byte) error {
	tempPath := path + ".part"
	if err := os.WriteFile(tempPath, text, 0o644); err != nil {
		os.Remove(tempPath)
		return fmt.Errorf("write %s: %w", filepath.Base(path), err)
	}
	if err := os.Rename(tempPath, path); err != nil {
		return fmt.Errorf("write %s: %w", filepath.Base(path), err)
	}
	return nil
}

// Read returns the summary of a results folder. It returns an error if the summary is missing or has no
// fleet.
func Read(dir string) (*experiment.Summary, error) {
	text, err := os.ReadFile(filepath.Join(dir, summaryFile))
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	var s experiment.Summary
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("results: %s: %w", dir, err)
	}
	if len(s.Fleets) == 0 {
		return nil, fmt.Errorf("results: %s: the summary has no fleet", dir)
	}
	return &s, nil
}

// ResultLine returns the last line of a run's output, in the format that scripts parse. A summary that
// has not passed must have at least one violation.
func ResultLine(s *experiment.Summary) string {
	if s.Passed {
		return fmt.Sprintf("%s seed %d: held", s.Name, s.Seed)
	}
	suffix := ""
	if n := len(s.Violations) - 1; n > 0 {
		suffix = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("%s seed %d: broke: %s%s", s.Name, s.Seed, s.Violations[0], suffix)
}
