package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/mutant"
)

// mutantsOptions are the flags of the command mutants.
type mutantsOptions struct {
	only        string // regular expression for the name or the test of the mutants to run
	concurrency int    // maximum number of mutants that run at a time
	checkOnly   bool   // only check that the edits apply
}

// mutantsCommand returns the command that runs mutation tests on the source tree in the working directory.
func mutantsCommand(out io.Writer) *cobra.Command {
	var options mutantsOptions
	cmd := &cobra.Command{Use: "mutants FILE.toml", Short: "Take mechanisms out one by one, and tell which the tests don't see", Args: cobra.ExactArgs(1),
		Long: "mutants builds the tests of this tree without one mechanism at a time and plays the test that\n" +
			"stands on it, which has to fail. The tree is not changed. Exit code 1 is a mechanism whose\n" +
			"test passes without it; it is played from the root of the tree.",
		Example: "  lab mutants mutants.toml\n  lab mutants experiments/mutants.toml --only 'TestDamagedDataIsRejected' --beside 1",
		RunE: func(cmd *cobra.Command, args []string) error {
			mutants, err := loadMutants(args[0], options.only)
			if err != nil {
				return err
			}
			if options.checkOnly {
				fmt.Fprintf(out, "%d mutants can be made\n", len(mutants))
				return nil
			}
			return runMutants(cmd.Context(), out, mutants, options.concurrency)
		}}
	cmd.Flags().StringVar(&options.only, "only", "", "those whose mechanism or test fits this pattern")
	cmd.Flags().IntVar(&options.concurrency, "beside", 3, "how many are played at once")
	cmd.Flags().BoolVar(&options.checkOnly, "check", false, "only tell whether each can be made of the tree as it is")
	return cmd
}

// loadMutants reads the mutants of a file whose name or test matches a regular expression. It returns an
// error if an edit of one of them doesn't apply to the source tree.
func loadMutants(path, pattern string) ([]mutant.Mutant, error) {
	mutants, err := mutant.Load(path)
	if err != nil {
		return nil, err
	}
	if mutants, err = mutant.Select(mutants, pattern); err != nil {
		return nil, err
	}
	for i := range mutants {
		if err := mutants[i].Check("."); err != nil {
			return nil, err
		}
	}
	return mutants, nil
}

// runMutants runs mutants and prints the result of each. It returns errChecksFailed unless all are killed.
func runMutants(ctx context.Context, out io.Writer, mutants []mutant.Mutant, concurrency int) error {
	killed, survived := 0, 0
	mutant.RunAll(ctx, ".", mutants, concurrency, func(m *mutant.Mutant, result mutant.Result, err error) {
		outcome := "NOT SEEN"
		switch {
		case err != nil:
			fmt.Fprintln(out, "error:", err)
			return
		case result.Killed:
			killed++
			outcome = "seen"
		default:
			survived++
		}
		fmt.Fprintf(out, "%s: %s (%s, %v): %s\n", outcome, m.Name, m.Test, result.Duration.Round(time.Second), result.Reason)
	})
	fmt.Fprintf(out, "%d seen, %d not seen, %d not played\n", killed, survived, len(mutants)-killed-survived)
	if killed != len(mutants) {
		return errChecksFailed
	}
	return nil
}
