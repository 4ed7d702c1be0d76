package control

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/endpoints"
	"molepaddle/internal/member"
)

const (
	arriveAgain  = 500 * time.Millisecond
	inquireEvery = 250 * time.Millisecond
	evidenceWait = 1200 * time.Millisecond // for another steward's answer
	probeWait    = 500 * time.Millisecond  // for a server's
	probeMany    = 16
	verdictLasts = 3 * time.Second
	maxEvidence  = 256 // servers of one question
	// mostQuestions bounds the questions that are looked into at once: one leader asks one.
	mostQuestions = 4
	// nameWait is how long a name may seem to be another's: one that has lost its folder and is
	// back at once has to be heard by the others before they know that it is not.
	nameWait    = 10 * time.Second
	votersEvery = time.Second
)

// Program is the version of this build.
func Program() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

// identity is drawn once for a data folder. By it another process of this name is told from
// this one started again.
func identity(dir string) (string, error) {
	path := filepath.Join(dir, "identity")
	text, err := os.ReadFile(path)
	if id := strings.TrimSpace(string(text)); err == nil && endpoints.IsWord(id, 64) {
		return id, nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	id := rand.Text()
	if err := WriteWhole(path, []byte(id+"\n")); err != nil {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	return id, nil
}

func (n *Node) handleMembers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+endpoints.MembersPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.gossip == nil {
			http.Error(w, "gossip: off at this steward", http.StatusNotFound)
			return
		}
		answer(w, n.gossip.View())
	})
	mux.HandleFunc("POST "+endpoints.MembersPath+"/{name}/arrival", n.leaderWrites(n.takeArrival))
	mux.HandleFunc("DELETE "+endpoints.MembersPath+"/{name}", n.leaveSession)
	mux.HandleFunc("POST /v1/evidence", n.serveEvidence)
}

// Members reads what each of the client's stewards knows; those that don't answer are named.
func Members(ctx context.Context, addrs []string, within time.Duration) (views []member.View, silent []string) {
	for _, addr := range addrs {
		var v member.View
		if err := NewClient([]string{addr}, within).do(ctx, http.MethodGet, endpoints.MembersPath, nil, &v); err != nil {
			silent = append(silent, addr)
			continue
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b member.View) int { return strings.Compare(a.From, b.From) })
	return views, silent
}
