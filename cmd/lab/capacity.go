package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/capacity"
)

// capacityPage is the file name of the capacity page.
const capacityPage = "CAPACITY.md"

// capacityCommand returns the command that writes or checks the tables of the capacity page.
func capacityCommand(out io.Writer) *cobra.Command {
	var folder string
	var checkOnly bool
	cmd := &cobra.Command{Use: "capacity", Short: "Make the tables of docs/CAPACITY.md from measured results", Args: cobra.NoArgs,
		Long: "capacity reads DIR/capacity/*.json and DIR/capacity/target.toml, fits slopes, extrapolates\n" +
			"them to the target and writes the tables into DIR/CAPACITY.md between their markers. With\n" +
			"--check it writes nothing; exit code 1 and one line tell which table differs.",
		Example: "  lab capacity\n  lab capacity --check",
		RunE: func(*cobra.Command, []string) error {
			target, data, err := capacity.ReadInputs(folder)
			if err != nil {
				return err
			}
			path := filepath.Join(folder, capacityPage)
			page, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
			tables := capacity.Tables(target, data)
			if checkOnly {
				return checkPage(out, path, string(page), tables)
			}
			if err := writePage(path, string(page), tables); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: %d tables from %d results\n", path, len(tables), len(data))
			return nil
		}}
	cmd.Flags().StringVar(&folder, "dir", "docs", "folder of the page; results and target in its folder capacity")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "write nothing; fail if a table differs from its results")
	return cmd
}

// writePage writes the page to path, with the tables inserted between their markers.
func writePage(path, page string, tables []capacity.Table) error {
	rendered, err := capacity.Render(page, tables)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path, []byte(rendered), 0o644); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// checkPage prints whether the tables in the page are up to date. It returns errChecksFailed if one differs.
func checkPage(out io.Writer, path, page string, tables []capacity.Table) error {
	outdatedTable, err := capacity.OutdatedTable(page, tables)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if outdatedTable != "" {
		fmt.Fprintf(out, "%s: table %s differs from the results; regenerate it with lab capacity\n", path, outdatedTable)
		return errChecksFailed
	}
	fmt.Fprintf(out, "%s: all %d tables match the results\n", path, len(tables))
	return nil
}
