package gossip

import (
	"io"
	"log/slog"
	"slices"

	"golang.org/x/time/rate"
)

// Log lines of the library that exceed this rate are dropped.
const (
	libraryLogLinesPerSecond = 5
	libraryLogBurst          = 20
)

// libraryLog writes the library's log lines to the process's log, at a limited rate.
type libraryLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
}

var _ io.Writer = (*libraryLog)(nil)

// Write logs one line without its newline, or drops it if the rate limit is exceeded. It never fails.
func (l *libraryLog) Write(line []byte) (int, error) {
	if l.limiter.Allow() {
		l.log.Debug("gossip library", "line", string(slices.Clone(line[:max(len(line)-1, 0)])))
	}
	return len(line), nil
}
