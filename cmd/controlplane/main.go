// Command controlplane runs a server of the control plane, which hosts the endpoint list that
// agents watch, and is the operators' command line to such servers.
//
// `controlplane serve` runs a server. All other commands call the servers that --at names, print
// their answers as tables and exit with status 1 and one line on standard error if they fail.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
)

// callTimeout is how long the command line waits for a server's answer.
const callTimeout = 40 * time.Second

// newClientFunc returns a client of the servers that --at names. Call it only while a command runs,
// because the flags are not parsed before then.
type newClientFunc func() *control.Client

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := newRootCommand(os.Stdout).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "controlplane:", strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(1)
	}
}

// newRootCommand returns the command line with all its commands. They write their output to out.
func newRootCommand(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "controlplane",
		Short:         "The fleet's list service, and the command line to it",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	var addrs []string
	root.PersistentFlags().StringSliceVar(&addrs, "at", []string{"127.0.0.1:8500"}, "HTTP addresses of stewards, the first that answers is asked")
	newClient := func() *control.Client { return control.NewClient(addrs, callTimeout) }
	root.AddCommand(
		newServeCommand(),
		newStatusCommand(out, newClient),
		newServersCommand(out, newClient),
		newSnapshotCommand(out, newClient),
		newPeerCommand(out, newClient),
		newConfirmCommand(out, newClient),
		newTasksCommand(out, newClient),
		newMembersCommand(out, newClient),
	)
	return root
}
