package syscallfault

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// childVariable is the environment variable that makes the test binary run dialTwice. Its value is the
// address to connect to.
const childVariable = "SYSCALLFAULT_TEST_ADDRESS"

// TestMain runs the tests, or dialTwice in a child process of a test.
func TestMain(m *testing.M) {
	if address := os.Getenv(childVariable); address != "" {
		if err := dialTwice(address); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// dialTwice installs the faults of the environment and connects to an address twice: while the file
// exists, and after removing it. It returns an error unless the first attempt fails with ENETDOWN and the
// second one succeeds.
func dialTwice(address string) error {
	if err := FromEnvironment(); err != nil {
		return err
	}
	if _, err := net.Dial("tcp", address); !errors.Is(err, unix.ENETDOWN) {
		return fmt.Errorf("dial while the file exists: %v, want ENETDOWN", err)
	}
	if err := os.Remove(os.Getenv(WhileVariable)); err != nil {
		return err
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return fmt.Errorf("dial without the file: %w", err)
	}
	return conn.Close()
}

// In a process that installs a fault, the call fails while the file exists, and only then.
func TestInstalledFault(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file := filepath.Join(t.TempDir(), "fault")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), os.Args[0])
	child.Env = append(os.Environ(), childVariable+"="+listener.Addr().String(), FaultsVariable+"=connect:ENETDOWN", WhileVariable+"="+file)
	if output, err := child.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, output)
	}
}

// Faults are parsed in order. The error for a fault with an unknown call or errno quotes the fault.
func TestParseFaults(t *testing.T) {
	faults, err := parseFaults("accept4:EMFILE,fsync:EIO")
	if err != nil || !slices.Equal(faults, []fault{{unix.SYS_ACCEPT4, unix.EMFILE}, {unix.SYS_FSYNC, unix.EIO}}) {
		t.Errorf("parsed %v: %v", faults, err)
	}
	for _, unknown := range []string{"socket:EMFILE", "accept4:ENONE", "accept4", ""} {
		if faults, err := parseFaults("accept4:EMFILE," + unknown); err == nil || !strings.Contains(err.Error(), `"`+unknown+`"`) {
			t.Errorf("%q: parsed %v: %v", unknown, faults, err)
		}
	}
}

// A call that has a fault fails only while the file exists; calls without a fault are always executed.
func TestCallsFailWhileTheFileExists(t *testing.T) {
	faults := []fault{{unix.SYS_CONNECT, unix.ENETDOWN}}
	file := filepath.Join(t.TempDir(), "fault")
	connect, write := &notification{id: 1, call: unix.SYS_CONNECT}, &notification{id: 2, call: unix.SYS_WRITE}
	executed := func(id uint64) response { return response{id: id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE} }
	if r := decide(connect, faults, file); r != executed(1) {
		t.Errorf("without the file: %+v", r)
	}
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if r, want := decide(connect, faults, file), (response{id: 1, errno: -int32(unix.ENETDOWN)}); r != want {
		t.Errorf("with the file: %+v, want %+v", r, want)
	}
	if r := decide(write, faults, file); r != executed(2) {
		t.Errorf("another call: %+v", r)
	}
}
