package main

import (
	"io"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/report"
)

// compareCommand returns the command that compares the results of two experiments or two scale runs.
func compareCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "compare DIR DIR", Short: "Set two results side by side", Args: cobra.ExactArgs(2),
		Example: "  lab compare found/steady-before found/steady-after",
		RunE: func(_ *cobra.Command, args []string) error {
			if isScaleResult(args[0]) && isScaleResult(args[1]) {
				return compareScaleResults(out, args[0], args[1])
			}
			first, err := report.Read(args[0])
			if err != nil {
				return err
			}
			second, err := report.Read(args[1])
			if err != nil {
				return err
			}
			return report.Compare(out, first, second)
		}}
}
