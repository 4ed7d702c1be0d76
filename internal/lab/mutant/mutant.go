// Package mutant takes mechanisms out of the program one at a time and tells whether the
// test that stands on each sees it: a safety test that passes without its mechanism shows
// nothing (mutation testing: DeMillo, Lipton and Sayward, 1978). The tree is not touched:
// the tool chain's overlay puts the changed file in place of the real one.
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
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
)

// Edit replaces a text that stands exactly once in a file.
type Edit struct {
	File string `koanf:"file"`
	Old  string `koanf:"old"`
	New  string `koanf:"new"`
}

// Mutant is the program without one mechanism, and the test that has to see that.
type Mutant struct {
	Name    string        `koanf:"name"` // the mechanism that is taken out
	Edit    []Edit        `koanf:"edit"`
	Package string        `koanf:"package"`
	Test    string        `koanf:"test"` // a pattern, as go test's -run takes it
	Env     []string      `koanf:"env"`
	Within  time.Duration `koanf:"within"`
}

// Verdict is what a test said of a mutant.
type Verdict struct {
	Seen bool
	Took time.Duration
	Why  string // the first line that says what failed, or why nothing can be said
}

// longest is how long a test may take unless the file says more: one that waits for what
// never comes ends by its own bound before.
const longest = 5 * time.Minute

// Load reads a file of mutants. Its error names the key.
func Load(path string) ([]Mutant, error) {
	k := koanf.New("\x00")
	if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	var all struct {
		Mutant []Mutant `koanf:"mutant"`
	}
	dec, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &all, TagName: "koanf", ErrorUnused: true,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc()})
	if err != nil {
		return nil, err
	}
	if err := dec.Decode(k.Raw()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	names := map[string]bool{}
	for i := range all.Mutant {
		m := &all.Mutant[i]
		at := fmt.Sprintf("%s: mutant[%d]", path, i)
		switch {
		case m.Name == "" || names[m.Name]:
			return nil, fmt.Errorf("%s.name: %q is missing or taken", at, m.Name)
		case m.Package == "":
			return nil, fmt.Errorf("%s.package: missing", at)
		case m.Test == "":
			return nil, fmt.Errorf("%s.test: missing", at)
		case len(m.Edit) == 0:
			return nil, fmt.Errorf("%s.edit: none", at)
		}
		if _, err := regexp.Compile(m.Test); err != nil {
			return nil, fmt.Errorf("%s.test: %w", at, err)
		}
		names[m.Name] = true
		if m.Within == 0 {
			m.Within = longest
		}
	}
	if len(all.Mutant) == 0 {
		return nil, fmt.Errorf("%s: mutant: none", path)
	}
	return all.Mutant, nil
}

// Check tells whether a mutant can be made of the tree as it is.
func (m *Mutant) Check(root string) error {
	_, err := m.changed(root)
	return err
}

// changed is what the edits make of the files that they touch.
func (m *Mutant) changed(root string) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range m.Edit {
		path := filepath.Join(root, e.File)
		if _, ok := texts[path]; !ok {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", m.Name, err)
			}
			texts[path] = string(text)
		}
		if n := strings.Count(texts[path], e.Old); n != 1 || e.Old == "" {
			return nil, fmt.Errorf("%s: %s has %q %d times, not once", m.Name, e.File, e.Old, n)
		}
		texts[path] = strings.Replace(texts[path], e.Old, e.New, 1)
	}
	return texts, nil
}

// failed is a line of the test tool that names what failed.
var failed = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// Run plays the test on the mutant.
func (m *Mutant) Run(ctx context.Context, root string) (v Verdict, err error) {
	began := time.Now()
	defer func() { v.Took = time.Since(began) }()
	root, err = filepath.Abs(root)
	if err != nil {
		return v, err
	}
	texts, err := m.changed(root)
	if err != nil {
		return v, err
	}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return v, err
	}
	defer os.RemoveAll(dir)
	replace := map[string]string{}
	for path, text := range texts {
		to := filepath.Join(dir, fmt.Sprintf("%d-%s", len(replace), filepath.Base(path)))
		if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
			return v, err
		}
		replace[path] = to
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return v, err
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		return v, err
	}
	binary := filepath.Join(dir, "mutant.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-overlay", overlay, "-o", binary, m.Package)
	build.Dir = root
	if said, err := build.CombinedOutput(); err != nil {
		return v, fmt.Errorf("%s: does not build: %s", m.Name, firstLines(string(said), 3))
	}
	// What a property test leaves of a mutant's failure is no case of the program's own.
	leavings := filepath.Join(root, m.Package, "testdata", "rapid")
	if _, err := os.Stat(leavings); errors.Is(err, fs.ErrNotExist) {
		defer os.RemoveAll(leavings)
	}
	ctx, cancel := context.WithTimeout(ctx, m.Within+time.Minute)
	defer cancel()
	test := exec.CommandContext(ctx, binary, "-test.run", m.Test, "-test.failfast", "-test.v", "-test.timeout", m.Within.String())
	test.Dir, test.Env = filepath.Join(root, m.Package), append(os.Environ(), m.Env...)
	test.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // what it starts ends with it
	test.Cancel = func() error { return syscall.Kill(-test.Process.Pid, syscall.SIGKILL) }
	said, err := test.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil && !strings.Contains(string(said), "--- PASS"):
		return v, fmt.Errorf("%s: no test is called %s", m.Name, m.Test)
	case err == nil:
		v.Why = "passes without it"
	case errors.As(err, &exit) && ctx.Err() == nil:
		v.Seen, v.Why = true, reason(string(said))
	default:
		return v, fmt.Errorf("%s: %w", m.Name, err)
	}
	return v, nil
}

// reason is the last lines that say what a test found; the ends of processes' logs are not.
func reason(said string) string {
	var lines []string
	for line := range strings.Lines(said) {
		if line = strings.TrimSpace(line); (strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:")) && !strings.HasSuffix(line, ":") {
			lines = append(lines, line[:min(len(line), 200)])
		}
	}
	name := ""
	if all := failed.FindAllStringSubmatch(said, -1); len(all) > 0 {
		name = all[len(all)-1][1]
	}
	return strings.TrimSpace(name + " " + strings.Join(lines[max(len(lines)-2, 0):], " | "))
}

func firstLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[:min(n, len(lines))], "; ")
}

// All plays mutants, a few at a time, and tells of each as it ends.
func All(ctx context.Context, root string, all []Mutant, beside int, tell func(m *Mutant, v Verdict, err error)) {
	places := make(chan struct{}, max(beside, 1))
	var mu sync.Mutex
	var owned sync.WaitGroup
	for i := range all {
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		owned.Add(1)
		go func() {
			defer owned.Done()
			defer func() { <-places }()
			v, err := all[i].Run(ctx, root)
			mu.Lock()
			defer mu.Unlock()
			tell(&all[i], v, err)
		}()
	}
	owned.Wait()
}

// Select keeps those whose name or test fits a pattern.
func Select(all []Mutant, pattern string) ([]Mutant, error) {
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, fmt.Errorf("--only: %w", err)
	}
	all = slices.DeleteFunc(slices.Clone(all), func(m Mutant) bool { return !re.MatchString(m.Name) && !re.MatchString(m.Test) })
	if len(all) == 0 {
		return nil, fmt.Errorf("--only: nothing fits %q", pattern)
	}
	return all, nil
}
