package main

import (
	"fmt"
	"io"
	"path/filepath"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/scale"
)

// listCommand returns the command that lists the experiments of a folder.
func listCommand(out io.Writer) *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "list", Short: "List the experiments of a folder", Args: cobra.NoArgs,
		Example: "  lab list\n  lab list --dir /tmp/mine",
		RunE: func(*cobra.Command, []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
			if len(paths) == 0 {
				return fmt.Errorf("--dir: no experiment in %s", dir)
			}
			sort.Strings(paths)
			for _, path := range paths {
				if scale.IsExperiment(path) {
					listScaleExperiment(out, path)
					continue
				}
				listExperiment(out, path)
			}
			return nil
		}}
	cmd.Flags().StringVar(&dir, "dir", "experiments", "folder to look in")
	return cmd
}

// listExperiment prints a line about an experiment, or the error if its file cannot be read.
func listExperiment(out io.Writer, path string) {
	config, err := experiment.Load(path)
	if err != nil {
		fmt.Fprintf(out, "%-28s cannot be read: %v\n", filepath.Base(path), err)
		return
	}
	firstLine, _, _ := strings.Cut(strings.TrimSpace(config.Description), "\n")
	fmt.Fprintf(out, "%-28s %4.0fs  %3d agents  %3d servers  %s\n", filepath.Base(path), config.Duration.Seconds(),
		config.Agents.Count, config.Servers.Count, firstLine)
}

// validateCommand returns the command that validates files of experiments and scale runs.
func validateCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "validate FILE.toml ...", Short: "Check experiment files without playing them", Args: cobra.MinimumNArgs(1),
		Example: "  lab validate experiments/*.toml",
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				name, err := checkFile(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s is fine\n", path, name)
			}
			return nil
		}}
}

// checkFile validates the file of an experiment or a scale run and returns the experiment's name.
func checkFile(path string) (string, error) {
	if scale.IsExperiment(path) {
		config, err := scale.Load(path)
		if err != nil {
			return "", err
		}
		return config.Name, nil
	}
	config, err := experiment.Load(path)
	if err != nil {
		return "", err
	}
	return config.Name, nil
}
