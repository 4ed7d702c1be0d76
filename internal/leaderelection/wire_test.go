package leaderelection

import (
	"testing"

	"knotrouter/internal/lab/golden"
)

// TestMessagesKeepTheirKeys holds the JSON form of a session's assignments, with every field,
// as the program of commit d25b370 wrote it.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{golden.Of[AssignmentUpdate]("tasks")})
}
