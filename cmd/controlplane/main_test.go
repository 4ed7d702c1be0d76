package main

import (
	"os"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/syscallfault"
)

// Environment variables that make the test binary run as another program instead of the tests.
const (
	serverChild = "STEWARD_CHILD"
	workerChild = "WORKER_CHILD"
	memberChild = "MEMBER_CHILD"
	agentChild  = "AGENT_CHILD"
)

// Environment variables with which a test changes the clock and the disk of a control-plane server.
const (
	clockOffsetVariable = "TEST_CLOCK" // added to its clock, as a duration
	diskBlockVariable   = "TEST_DISK"  // path of a file: its log store blocks while the file exists
)

// diskPollInterval is how often a blocked log store checks whether its file still exists.
const diskPollInterval = 20 * time.Millisecond

// TestMain runs the tests, or the program that an environment variable selects.
func TestMain(m *testing.M) {
	switch {
	case isChild(serverChild):
		os.Unsetenv(serverChild)
		if err := syscallfault.FromEnvironment(); err != nil {
			panic(err)
		}
		adjustConfig = applyTestEnvironment
		main()
		os.Exit(0)
	case isChild(workerChild):
		workerMain()
		os.Exit(0)
	case isChild(memberChild):
		memberMain()
		os.Exit(0)
	case isChild(agentChild):
		agentMain()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// isChild reports whether this process was started to run the program that a variable selects.
func isChild(variable string) bool { return os.Getenv(variable) == "1" }

// applyTestEnvironment gives a server the clock and the log store that its environment variables specify.
func applyTestEnvironment(config *control.Config) {
	if offset, err := time.ParseDuration(os.Getenv(clockOffsetVariable)); err == nil {
		config.Now = func() time.Time { return time.Now().Add(offset) }
	}
	if file := os.Getenv(diskBlockVariable); file != "" {
		config.WrapLogStore = func(store raft.LogStore) raft.LogStore { return blockingLogStore{store, file} }
	}
}

// blockingLogStore is a log store whose writes block while a file exists.
type blockingLogStore struct {
	raft.LogStore
	file string
}

// StoreLogs implements raft.LogStore. It blocks while the file exists.
func (s blockingLogStore) StoreLogs(logs []*raft.Log) error {
	for {
		if _, err := os.Stat(s.file); err != nil {
			return s.LogStore.StoreLogs(logs)
		}
		time.Sleep(diskPollInterval)
	}
}
