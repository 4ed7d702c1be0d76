package control

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	raftLogLinesPerSecond = 20
	raftLogBurst          = 50
)

// newRaftLogger returns a logger for the raft library that writes its lines to log, limited to
// raftLogLinesPerSecond with bursts of raftLogBurst. The first line after suppressed lines has
// their number as the attribute suppressed_lines.
func newRaftLogger(log *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Info,
		DisableTime: true,
		Output:      &raftLogWriter{log: log, limiter: rate.NewLimiter(raftLogLinesPerSecond, raftLogBurst)},
	})
}

// raftLogWriter is an io.Writer that turns lines of hclog into messages of slog. The parameters of a
// line stay part of its text, as the library formats them.
type raftLogWriter struct {
	log        *slog.Logger
	limiter    *rate.Limiter
	mu         sync.Mutex
	suppressed int // number of lines dropped since the last logged line; guarded by mu
}

// Write implements io.Writer for one line. It never fails.
func (w *raftLogWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.suppressed++
		return len(p), nil
	}
	text := strings.TrimSpace(string(p))
	level := slog.LevelInfo
	for prefix, prefixLevel := range map[string]slog.Level{
		"[ERROR]": slog.LevelError,
		"[WARN]":  slog.LevelWarn,
		"[INFO]":  slog.LevelInfo,
		"[DEBUG]": slog.LevelDebug,
	} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			text, level = strings.TrimSpace(rest), prefixLevel
		}
	}
	args := []any{}
	if w.suppressed > 0 {
		args, w.suppressed = append(args, "suppressed_lines", w.suppressed), 0
	}
	w.log.Log(context.Background(), level, text, args...)
	return len(p), nil
}
