package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"knotrouter/internal/lab/experiment"
)

const (
	// phaseStarting and phaseRunning are values of experiment.Progress.Phase.
	phaseStarting = "starting"
	phaseRunning  = "running"
	// progressLineInterval is the minimum time between two lines of progress.
	progressLineInterval = 2 * time.Second
	progressBarWidth     = 40
)

// newProgress starts a display of an experiment's progress: a bar if out is a terminal, and lines
// otherwise. show updates the display, and stop ends it.
func newProgress(out io.Writer, config *experiment.Config) (show func(experiment.Progress), stop func()) {
	if file, isFile := out.(*os.File); isFile && isatty.IsTerminal(file.Fd()) {
		return newProgressBar(out, config)
	}
	return newProgressLines(out), func() {}
}

// newProgressLines returns a function that prints a line of progress at most every
// progressLineInterval while the experiment runs.
func newProgressLines(out io.Writer) func(experiment.Progress) {
	var printed time.Time
	return func(progress experiment.Progress) {
		if progress.Phase != phaseRunning || time.Since(printed) < progressLineInterval {
			return
		}
		printed = time.Now()
		fmt.Fprintln(out, progressText(progress))
	}
}

// newProgressBar draws a progress bar. show updates it, and stop ends it.
func newProgressBar(out io.Writer, config *experiment.Config) (show func(experiment.Progress), stop func()) {
	// The bar is drawn by another goroutine, which reads the latest progress through an atomic pointer.
	var latest atomic.Pointer[experiment.Progress]
	latest.Store(&experiment.Progress{Phase: phaseStarting})
	text := func(decor.Statistics) string {
		progress := latest.Load()
		if progress.Phase != phaseRunning {
			return progress.Phase
		}
		return progressText(*progress)
	}
	bars := mpb.New(mpb.WithOutput(out), mpb.WithWidth(progressBarWidth))
	bar := bars.AddBar(int64(config.Duration/time.Millisecond),
		mpb.PrependDecorators(decor.Name(config.Name+" ")), mpb.AppendDecorators(decor.Any(text)))
	show = func(progress experiment.Progress) {
		latest.Store(&progress)
		bar.SetCurrent(int64(progress.ElapsedSeconds * 1000))
	}
	stop = func() {
		bar.Abort(false)
		bars.Wait()
	}
	return show, stop
}

// progressText returns a line of text with the progress of a running experiment.
func progressText(progress experiment.Progress) string {
	text := fmt.Sprintf("%5.1f/%.0f s  asked %d  in time %d  late %d  refused %d  failed %d",
		progress.ElapsedSeconds, progress.TotalSeconds, progress.Requests, progress.InTime, progress.Late, progress.Rejected, progress.Failed)
	if progress.Breaches > 0 {
		text += fmt.Sprintf("  BREACHES %d", progress.Breaches)
	}
	if len(progress.ActiveFaults) > 0 {
		text += "  [" + strings.Join(progress.ActiveFaults, ", ") + "]"
	}
	return text
}
