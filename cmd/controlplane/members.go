package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
	"knotrouter/internal/member"
	"knotrouter/internal/table"
)

func membersCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	var from string
	var compare, all bool
	cmd := &cobra.Command{Use: "members", Short: "Show who is present, and where views differ", Args: cobra.NoArgs,
		Long: "members shows what the first steward of --at that answers knows: its own opinions and what others\n" +
			"report. --from shows one process's own opinions only; --compare asks all of --at and shows where they\n" +
			"differ, since when, and who is alone with its opinion.",
		Example: "  controlplane members\n  controlplane members --from st-2 --at 127.0.0.1:8500,127.0.0.1:8510\n  controlplane members --compare --at 127.0.0.1:8500,127.0.0.1:8510,127.0.0.1:8520",
		RunE: func(cmd *cobra.Command, _ []string) error {
			views, silent := control.ReadMemberViews(cmd.Context(), client().Addrs, 5*time.Second)
			if len(views) == 0 {
				return errors.New("no steward answers that gossips")
			}
			for _, addr := range silent {
				fmt.Fprintf(out, "%s: no answer\n", addr)
			}
			switch {
			case compare:
				return printDifferences(out, views)
			case from != "":
				i := slices.IndexFunc(views, func(v member.View) bool { return v.From == from })
				if i < 0 {
					return fmt.Errorf("--from: %s is none of the stewards that answer", from)
				}
				return printView(out, &views[i], true, all)
			}
			return printView(out, &views[0], false, all)
		}}
	cmd.Flags().StringVar(&from, "from", "", "the steward whose own opinions are shown")
	cmd.Flags().BoolVar(&compare, "compare", false, "show where the stewards' opinions differ")
	cmd.Flags().BoolVar(&all, "all", false, "show each agent and server, not only their numbers")
	return cmd
}

func formatAge(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// printView shows one printView, or one process's own opinions.
func printView(out io.Writer, v *member.View, own, all bool) error {
	var rows [][]string
	count := map[string]int{}
	for i := range v.Members {
		e := &v.Members[i]
		state, since := string(e.State), ""
		var says []string
		for _, o := range e.Observers {
			if o.Observer == v.From {
				since = formatAge(o.ForMs)
				if own {
					state = string(o.State)
				}
			}
			says = append(says, fmt.Sprintf("%s: %s", o.Observer, o.State))
		}
		if own && since == "" {
			continue
		}
		count[fmt.Sprintf("%ss %s", e.Role, state)]++
		if !e.Role.Gossips() && !all && state == string(member.Present) {
			continue
		}
		row := []string{e.Name, string(e.Role), state, e.Zone, fmt.Sprint(e.Incarnation), e.ProgramVersion}
		if own {
			row = append(row, since)
		} else {
			row = append(row, strings.Join(says, ", "))
		}
		rows = append(rows, row)
	}
	last := "observers"
	if own {
		last = "for"
	}
	if err := table.Terminal(out, false, []string{"member", "role", "state", "zone", "life", "program", last}, rows); err != nil {
		return err
	}
	var sums []string
	for what, n := range count {
		sums = append(sums, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(sums)
	fmt.Fprintf(out, "by %s, version %d: %s\n", v.From, v.Version, strings.Join(sums, ", "))
	return nil
}

func printDifferences(out io.Writer, views []member.View) error {
	diffs := member.CompareViews(views)
	if len(diffs) == 0 {
		fmt.Fprintf(out, "the %d stewards that answer are of one mind\n", len(views))
		return nil
	}
	var rows [][]string
	for i := range diffs {
		d := &diffs[i]
		var says []string
		for who, what := range d.States {
			says = append(says, who+": "+what)
		}
		for _, who := range d.Absent {
			says = append(says, who+": doesn't know it")
		}
		slices.Sort(says)
		rows = append(rows, []string{d.Name, string(d.Role), strings.Join(says, ", "), formatAge(d.ForMs), d.Dissenter})
	}
	return table.Terminal(out, false, []string{"member", "role", "opinions", "for", "alone"}, rows)
}
