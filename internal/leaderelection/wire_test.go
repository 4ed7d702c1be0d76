package leaderelection

import (
	"testing"

	"knotrouter/internal/lab/golden"
)

// TestMessagesKeepTheirKeys compares the JSON encoding of a session's assignments, with every
// field set, with the encoding of commit d25b370.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{golden.Of[AssignmentUpdate]("tasks")})
}
