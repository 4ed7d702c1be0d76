package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/worker"
)

// workerCommand is what an experiment with duties starts.
func workerCommand() *cobra.Command {
	c := worker.Config{ClockRate: 1, MaxTasks: 100}
	cmd := &cobra.Command{Use: "worker", Short: "Hold duties and act under them, for an experiment", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case c.Name == "" || len(c.ControlPlaneAddrs) == 0 || len(c.OperationAddrs) == 0:
				return errors.New("--name, --at, --place: missing")
			case !(c.ClockRate > 0):
				return errors.New("--clock: must be above 0")
			}
			worker.Run(cmd.Context(), c, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("worker", c.Name))
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&c.Name, "name", "", "its name")
	f.StringVar(&c.Zone, "zone", "", "its zone")
	f.StringSliceVar(&c.ControlPlaneAddrs, "at", nil, "HTTP addresses of stewards")
	f.StringSliceVar(&c.OperationAddrs, "place", nil, "addresses where acts land")
	f.IntVar(&c.MaxTasks, "cap", c.MaxTasks, "duties that it holds at most")
	f.Float64Var(&c.ClockRate, "clock", c.ClockRate, "rate of its clock")
	return cmd
}
