package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"

	"github.com/knadh/koanf/parsers/toml/v2"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/process"
)

// controlPlaneName returns the name of the i-th control-plane server, which is used in its
// configuration and in the names of its files.
func controlPlaneName(i int) string { return fmt.Sprintf("steward-%d", i+1) }

// addControlPlane writes the configurations of the control-plane servers, empties their data folders
// and adds their processes to the supervisor. startControlPlane starts them.
func (f *fleet) addControlPlane() error {
	command, err := programPath("scale.steward_command", f.config.Scale.ControlPlaneCommand)
	if err != nil {
		return err
	}
	count := f.config.Scale.ControlPlaneServers
	if f.controlPlaneAddrs, err = f.freeAddresses(count); err != nil {
		return err
	}
	raft, err := f.freeAddresses(count)
	if err != nil {
		return err
	}
	f.client = control.NewClient(f.controlPlaneAddrs, statusTimeout)
	peers := map[string]any{}
	for i := range count {
		peers[controlPlaneName(i)] = map[string]string{"http": f.controlPlaneAddrs[i], "raft": raft[i]}
	}
	for i := range count {
		name := controlPlaneName(i)
		settings := maps.Clone(f.config.Scale.ControlPlaneSettings)
		if settings == nil {
			settings = map[string]any{}
		}
		settings["name"], settings["data"] = name, filepath.Join(f.dir, name)
		settings["listen"], settings["raft"], settings["peers"] = f.controlPlaneAddrs[i], raft[i], peers
		path := filepath.Join(f.dir, name+".toml")
		if err := writeControlPlaneConfig(path, settings); err != nil {
			return err
		}
		if err := os.RemoveAll(filepath.Join(f.dir, name)); err != nil {
			return fmt.Errorf("data folder of the steward: %w", err)
		}
		f.controlPlane = append(f.controlPlane, f.supervisor.Add(process.Spec{Name: name, Path: command,
			Args: []string{"serve", "--config", path}, Log: f.logPath(name)}))
	}
	return nil
}

// writeControlPlaneConfig writes the configuration of a control-plane server to a file and validates
// it with the code that the server loads it with.
func writeControlPlaneConfig(path string, settings map[string]any) error {
	text, err := toml.Parser().Marshal(settings)
	if err != nil {
		return fmt.Errorf("scale.steward: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("steward configuration: %w", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("steward configuration: %w", err)
	}
	if _, err := control.LoadConfig(path, nil); err != nil {
		return fmt.Errorf("scale.steward: %w", err)
	}
	return nil
}

// startControlPlane starts the control-plane servers and waits up to startTimeout for a leader.
func (f *fleet) startControlPlane(ctx context.Context) error {
	for _, p := range f.controlPlane {
		if err := p.Start(); err != nil {
			return err
		}
	}
	_, ok := poll(ctx, startTimeout, func() bool { return f.leader(ctx) >= 0 })
	if !ok {
		return errors.Join(ctx.Err(), fmt.Errorf("stewards: no leader within %v: %s", startTimeout, f.controlPlane[0].LastLogLine()))
	}
	return nil
}

// status returns the status of the i-th control-plane server.
func (f *fleet) status(ctx context.Context, i int) (control.Status, error) {
	return control.NewClient(f.controlPlaneAddrs[i:i+1], statusTimeout).Status(ctx)
}

// leader returns the index of the control-plane server that is the leader, or -1 if there is none.
func (f *fleet) leader(ctx context.Context) int {
	for i, p := range f.controlPlane {
		if !p.Running() {
			continue
		}
		if status, err := f.status(ctx, i); err == nil && status.State == "leader" {
			return i
		}
	}
	return -1
}

// get returns the response body for a GET request to a path of the i-th control-plane server. A status
// other than 200 is an error.
func (f *fleet) get(ctx context.Context, i int, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.controlPlaneAddrs[i]+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, response.Status)
	}
	return io.ReadAll(response.Body)
}
