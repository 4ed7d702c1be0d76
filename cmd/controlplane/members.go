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

// viewTimeout is how long `members` waits for each server's view.
const viewTimeout = 5 * time.Second

// errNoView is the error of `members` if no server returned a membership view.
var errNoView = errors.New("no steward answers that gossips")

// unknownObserverError is the error of `members --from` if no server with the given name answered.
type unknownObserverError struct{ name string }

// Error names the flag and the server.
func (e *unknownObserverError) Error() string {
	return "--from: " + e.name + " is none of the stewards that answer"
}

// memberOptions selects what `members` shows.
type memberOptions struct {
	from    string // the server whose own observations are shown; empty: the combined view
	compare bool   // show where the servers' observations differ, instead of a view
	all     bool   // show each agent and server, not only how many there are
}

// newMembersCommand returns the command that shows the membership views of servers.
func newMembersCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	var options memberOptions
	cmd := &cobra.Command{
		Use:   "members",
		Short: "Show who is present, and where views differ",
		Args:  cobra.NoArgs,
		Long: "members shows what the first steward of --at that answers knows: its own opinions and what others\n" +
			"report. --from shows one process's own opinions only; --compare asks all of --at and shows where they\n" +
			"differ, since when, and who is alone with its opinion.",
		Example: "  controlplane members\n  controlplane members --from st-2 --at 127.0.0.1:8500,127.0.0.1:8510\n  controlplane members --compare --at 127.0.0.1:8500,127.0.0.1:8510,127.0.0.1:8520",
		RunE: func(cmd *cobra.Command, _ []string) error {
			views, unanswered := control.ReadMemberViews(cmd.Context(), newClient().Addrs, viewTimeout)
			return printMembers(out, views, unanswered, options)
		},
	}
	cmd.Flags().StringVar(&options.from, "from", "", "the steward whose own opinions are shown")
	cmd.Flags().BoolVar(&options.compare, "compare", false, "show where the stewards' opinions differ")
	cmd.Flags().BoolVar(&options.all, "all", false, "show each agent and server, not only their numbers")
	return cmd
}

// printMembers prints the addresses that did not answer, and then the view, or the differences between the
// views, depending on the options. It returns errNoView if there is no view, and an *unknownObserverError if
// there is none from the selected server.
func printMembers(out io.Writer, views []member.View, unanswered []string, options memberOptions) error {
	if len(views) == 0 {
		return errNoView
	}
	for _, addr := range unanswered {
		fmt.Fprintf(out, "%s: no answer\n", addr)
	}
	switch {
	case options.compare:
		return printDifferences(out, views)
	case options.from != "":
		i := slices.IndexFunc(views, func(view member.View) bool { return view.From == options.from })
		if i < 0 {
			return &unknownObserverError{options.from}
		}
		return printOwnView(out, &views[i], options.all)
	}
	return printCombinedView(out, &views[0], options.all)
}

// printCombinedView prints the state of each member, combined from the observations of all servers, and
// the state that each observer reports.
func printCombinedView(out io.Writer, view *member.View, all bool) error {
	var rows [][]string
	counts := memberCounts{}
	for i := range view.Members {
		entry := &view.Members[i]
		counts.add(entry.Role, entry.State)
		if !isShown(entry.Role, entry.State, all) {
			continue
		}
		var observations []string
		for _, o := range entry.Observers {
			observations = append(observations, fmt.Sprintf("%s: %s", o.Observer, o.State))
		}
		rows = append(rows, memberRow(entry, entry.State, strings.Join(observations, ", ")))
	}
	return printMemberTable(out, view, "observers", rows, counts)
}

// printOwnView prints the members that the view's own server observes, with the observed state and how long
// the member has been in it.
func printOwnView(out io.Writer, view *member.View, all bool) error {
	var rows [][]string
	counts := memberCounts{}
	for i := range view.Members {
		entry := &view.Members[i]
		state, durationMs, observed := observationBy(view.From, entry)
		if !observed {
			continue
		}
		counts.add(entry.Role, state)
		if isShown(entry.Role, state, all) {
			rows = append(rows, memberRow(entry, state, formatAge(durationMs)))
		}
	}
	return printMemberTable(out, view, "for", rows, counts)
}

// observationBy returns the state in which an observer sees a member, and for how many milliseconds it has
// observed this state. observed is false if the observer has no observation of the member.
func observationBy(observer string, entry *member.Entry) (state member.State, durationMs int64, observed bool) {
	for _, o := range entry.Observers {
		if o.Observer == observer {
			state, durationMs, observed = o.State, o.ForMs, true
		}
	}
	return state, durationMs, observed
}

// isShown reports whether a member gets a row. A present member that doesn't gossip gets one only if all is
// set, because there can be many such members.
func isShown(role member.Role, state member.State, all bool) bool {
	return role.Gossips() || all || state != member.Present
}

// memberRow returns the columns of a member. The last one, detail, depends on the kind of view.
func memberRow(entry *member.Entry, state member.State, detail string) []string {
	return []string{entry.Name, string(entry.Role), string(state), entry.Zone, fmt.Sprint(entry.Incarnation), entry.ProgramVersion, detail}
}

// roleAndState is the key by which members are counted.
type roleAndState struct {
	role  member.Role
	state member.State
}

// memberCounts holds the number of members for each role and state.
type memberCounts map[roleAndState]int

// add counts a member.
func (c memberCounts) add(role member.Role, state member.State) { c[roleAndState{role, state}]++ }

// String returns the counts, separated by commas, in the lexical order of their texts.
func (c memberCounts) String() string {
	var parts []string
	for key, n := range c {
		parts = append(parts, fmt.Sprintf("%d %ss %s", n, key.role, key.state))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// printMemberTable prints a view's rows, whose last column depends on the kind of view, and the counts of
// all its members.
func printMemberTable(out io.Writer, view *member.View, detailColumn string, rows [][]string, counts memberCounts) error {
	columns := []string{"member", "role", "state", "zone", "life", "program", detailColumn}
	if err := table.Terminal(out, false, columns, rows); err != nil {
		return err
	}
	fmt.Fprintf(out, "by %s, version %d: %s\n", view.From, view.Version, counts)
	return nil
}

// printDifferences prints the members whose states differ between the servers' views, or a line saying that
// the views agree.
func printDifferences(out io.Writer, views []member.View) error {
	differences := member.CompareViews(views)
	if len(differences) == 0 {
		fmt.Fprintf(out, "the %d stewards that answer are of one mind\n", len(views))
		return nil
	}
	var rows [][]string
	for i := range differences {
		difference := &differences[i]
		var states []string
		for observer, state := range difference.States {
			states = append(states, observer+": "+state)
		}
		for _, observer := range difference.UnknownTo {
			states = append(states, observer+": doesn't know it")
		}
		slices.Sort(states)
		rows = append(rows, []string{difference.Name, string(difference.Role), strings.Join(states, ", "), formatAge(difference.ForMs), difference.Dissenter})
	}
	return table.Terminal(out, false, []string{"member", "role", "opinions", "for", "alone"}, rows)
}

// formatAge formats milliseconds as a duration, to a tenth of a second.
func formatAge(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
