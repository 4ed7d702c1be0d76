package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/mutant"
)

func mutantsCommand(out io.Writer) *cobra.Command {
	var only string
	var beside int
	var check bool
	cmd := &cobra.Command{Use: "mutants FILE.toml", Short: "Take mechanisms out one by one, and tell which the tests don't see", Args: cobra.ExactArgs(1),
		Long: "mutants builds the tests of this tree without one mechanism at a time and plays the test that\n" +
			"stands on it, which has to fail. The tree is not changed. Exit code 1 is a mechanism whose\n" +
			"test passes without it; it is played from the root of the tree.",
		Example: "  lab mutants mutants.toml\n  lab mutants experiments/mutants.toml --only 'TestDamagedDataIsRejected' --beside 1",
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := mutant.Load(args[0])
			if err != nil {
				return err
			}
			if all, err = mutant.Select(all, only); err != nil {
				return err
			}
			for i := range all {
				if err := all[i].Check("."); err != nil {
					return err
				}
			}
			if check {
				fmt.Fprintf(out, "%d mutants can be made\n", len(all))
				return nil
			}
			seen, unseen := 0, 0
			mutant.All(cmd.Context(), ".", all, beside, func(m *mutant.Mutant, v mutant.Verdict, err error) {
				switch {
				case err != nil:
					fmt.Fprintln(out, "error:", err)
				case v.Seen:
					seen++
					fmt.Fprintf(out, "seen: %s (%s, %v): %s\n", m.Name, m.Test, v.Took.Round(time.Second), v.Why)
				default:
					unseen++
					fmt.Fprintf(out, "NOT SEEN: %s (%s, %v): %s\n", m.Name, m.Test, v.Took.Round(time.Second), v.Why)
				}
			})
			fmt.Fprintf(out, "%d seen, %d not seen, %d not played\n", seen, unseen, len(all)-seen-unseen)
			if seen != len(all) {
				return errBroke
			}
			return nil
		}}
	cmd.Flags().StringVar(&only, "only", "", "those whose mechanism or test fits this pattern")
	cmd.Flags().IntVar(&beside, "beside", 3, "how many are played at once")
	cmd.Flags().BoolVar(&check, "check", false, "only tell whether each can be made of the tree as it is")
	return cmd
}
