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

	"knotrouter/internal/endpoints"
	"knotrouter/internal/member"
)

const (
	shownRevisionDigits = 12 // number of leading digits of the VCS revision
	maxDataIDBytes      = 64
)

// BuildRevision returns the first digits of the VCS revision that this program was built from, or
// "unknown" if the build information has none.
func BuildRevision() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), shownRevisionDigits)]
			}
		}
	}
	return "unknown"
}

// loadDataID returns the identity of a data folder, a random token that is created when the folder is
// first used. It distinguishes a restart of this process from another process of the same name.
func loadDataID(dir string) (string, error) {
	path := filepath.Join(dir, "identity")
	text, err := os.ReadFile(path)
	if id := strings.TrimSpace(string(text)); err == nil && endpoints.IsToken(id, maxDataIDBytes) {
		return id, nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	id := rand.Text()
	if err := WriteFileAtomic(path, []byte(id+"\n")); err != nil {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	return id, nil
}

// handleMemberView answers with the membership view.
func (s *Server) handleMemberView(w http.ResponseWriter, _ *http.Request) {
	if s.gossip() == nil {
		http.Error(w, "gossip: off at this steward", http.StatusNotFound)
		return
	}
	writeJSON(w, s.gossip().View())
}

// ReadMemberViews reads the membership views of the control-plane servers at the given addresses,
// and returns them sorted by server name. Addresses that didn't answer within the timeout, or
// answered with an error, are returned as unreachable.
func ReadMemberViews(ctx context.Context, addrs []string, timeout time.Duration) (views []member.View, unreachable []string) {
	for _, addr := range addrs {
		var v member.View
		if err := NewClient([]string{addr}, timeout).do(ctx, http.MethodGet, endpoints.MembersPath, nil, &v); err != nil {
			unreachable = append(unreachable, addr)
			continue
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b member.View) int { return strings.Compare(a.From, b.From) })
	return views, unreachable
}
