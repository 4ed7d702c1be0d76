package mutant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Result is the result of a mutant's test.
type Result struct {
	Killed   bool          // the test failed, so it detects the missing mechanism
	Duration time.Duration // duration of the build and the test
	Reason   string        // the failed test with its last messages, or that the test passed
}

// killGrace is the time after the mutant's timeout at which a test process is killed. The test binary's
// own timeout normally ends it earlier, with a stack trace.
const killGrace = time.Minute

// RunAll runs mutants on the source tree at root, at most concurrency of them at a time. It calls report
// for each completed mutant, never concurrently, and returns once all have completed. After the context
// is done, no further mutant is started.
func RunAll(ctx context.Context, root string, mutants []Mutant, concurrency int, report func(m *Mutant, r Result, err error)) {
	slots := make(chan struct{}, max(concurrency, 1))
	var reportMutex sync.Mutex
	var wg sync.WaitGroup
	for i := range mutants {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			result, err := mutants[i].Run(ctx, root)
			reportMutex.Lock()
			defer reportMutex.Unlock()
			report(&mutants[i], result, err)
		}()
	}
	wg.Wait()
}

// Run builds the mutant's test from the source tree at root with the edits applied, and runs it. It
// returns an error if the run is inconclusive: an edit doesn't apply, the mutant doesn't build, no test
// matches, or the test doesn't end in time.
func (m *Mutant) Run(ctx context.Context, root string) (result Result, err error) {
	start := time.Now()
	defer func() { result.Duration = time.Since(start) }()
	root, err = filepath.Abs(root)
	if err != nil {
		return result, err
	}
	texts, err := m.editedFiles(root)
	if err != nil {
		return result, err
	}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(dir, texts)
	if err != nil {
		return result, err
	}
	binary := filepath.Join(dir, "mutant.test")
	if err := m.build(ctx, root, overlay, binary); err != nil {
		return result, err
	}
	return m.runTest(ctx, root, binary)
}

// overlayFile is the format of the Go tool's -overlay files.
type overlayFile struct {
	Replace map[string]string `json:"Replace"` // path of the replacement by the path of the real file
}

// writeOverlay writes replacement files and an overlay file that refers to them into a folder. texts
// are the replacements' contents by the path of the real file. It returns the overlay file's path.
func writeOverlay(dir string, texts map[string]string) (string, error) {
	overlay := overlayFile{Replace: map[string]string{}}
	for path, text := range texts {
		replacement := filepath.Join(dir, fmt.Sprintf("%d-%s", len(overlay.Replace), filepath.Base(path)))
		if err := os.WriteFile(replacement, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[path] = replacement
	}
	encoded, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, encoded, 0o600)
}

// build compiles the tests of the mutant's package into the file binary.
func (m *Mutant) build(ctx context.Context, root, overlay, binary string) error {
	command := exec.CommandContext(ctx, "go", "test", "-c", "-overlay", overlay, "-o", binary, m.Package)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: does not build: %s", m.Name, firstLines(string(output), 3))
	}
	return nil
}

// runTest runs the mutant's test in the folder of its package.
func (m *Mutant) runTest(ctx context.Context, root, binary string) (Result, error) {
	packageDir := filepath.Join(root, m.Package)
	defer removeNewFailureFiles(packageDir)()
	ctx, cancel := context.WithTimeout(ctx, m.Timeout+killGrace)
	defer cancel()
	command := exec.CommandContext(ctx, binary, "-test.run", m.Test, "-test.failfast", "-test.v", "-test.timeout", m.Timeout.String())
	command.Dir, command.Env = packageDir, append(os.Environ(), m.Env...)
	// The test runs in a process group of its own, so that the processes that it starts are killed with it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil && !strings.Contains(string(output), "--- PASS"):
		return Result{}, fmt.Errorf("%s: no test matches %s", m.Name, m.Test)
	case err == nil:
		return Result{Reason: "passes without it"}, nil
	case errors.As(err, &exit) && ctx.Err() == nil:
		return Result{Killed: true, Reason: failureReason(string(output))}, nil
	}
	return Result{}, fmt.Errorf("%s: %w", m.Name, err)
}

// removeNewFailureFiles returns a function that removes the folder in which the library rapid keeps
// the failing cases of property tests, unless the folder exists already: cases that fail on a mutant
// don't fail on the real program.
func removeNewFailureFiles(packageDir string) func() {
	folder := filepath.Join(packageDir, "testdata", "rapid")
	if _, err := os.Stat(folder); !errors.Is(err, fs.ErrNotExist) {
		return func() {}
	}
	return func() { os.RemoveAll(folder) }
}
