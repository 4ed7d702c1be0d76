// Command lab runs experiments on real agent processes. It emulates the servers, clients and links
// around the agents, injects faults and checks rules.
//
// Each file has one command or a few related ones: run.go (run), experiments.go (list, validate),
// compare.go (compare), mutants.go, soak.go, capacity.go, cost.go, hollow.go and worker.go. scale.go has the
// functions for scale runs, which the commands run, list, validate and compare also handle.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// errChecksFailed is returned by a command whose checks failed or that was interrupted, after the command
// has printed the reason.
var errChecksFailed = errors.New("checks failed")

// Exit codes.
const (
	exitChecksFailed = 1 // the command's checks failed, or it was interrupted
	exitError        = 2 // the command could not run
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	err := newRootCommand(os.Stdout, os.Stderr).ExecuteContext(ctx)
	stop()
	switch {
	case err == nil:
	case errors.Is(err, errChecksFailed):
		os.Exit(exitChecksFailed)
	default:
		fmt.Fprintln(os.Stderr, "lab:", strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(exitError)
	}
}

// newRootCommand returns the lab's root command. Results are printed to out, progress to progress.
func newRootCommand(out, progress io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "Play experiments on real agents, with faults between the processes",
		SilenceUsage: true, SilenceErrors: true,
		Long: "lab starts real agents beside emulated programme servers, a list service and clients,\n" +
			"injects the faults of an experiment's timeline and checks the rules by what servers\n" +
			"and clients saw. Everything is on loopback addresses and ends with the lab."}
	root.SetOut(out)
	root.AddCommand(runCommand(out, progress), listCommand(out), validateCommand(out), compareCommand(out), mutantsCommand(out), soakCommand(out), workerCommand())
	root.AddCommand(capacityCommand(out), costCommand(out, progress), hollowCommand(out))
	return root
}
