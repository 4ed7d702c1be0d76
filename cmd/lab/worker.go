package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/worker"
)

// workerCommand returns the command that runs a worker: a process that holds leased tasks. Experiments
// start it.
func workerCommand() *cobra.Command {
	config := worker.Config{ClockRate: 1, MaxTasks: 100}
	cmd := &cobra.Command{Use: "worker", Short: "Hold duties and act under them, for an experiment", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case config.Name == "" || len(config.ControlPlaneAddrs) == 0 || len(config.OperationAddrs) == 0:
				return errors.New("--name, --at, --place: missing")
			case !(config.ClockRate > 0):
				return errors.New("--clock: must be above 0")
			}
			worker.Run(cmd.Context(), config, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("worker", config.Name))
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&config.Name, "name", "", "its name")
	flags.StringVar(&config.Zone, "zone", "", "its zone")
	flags.StringSliceVar(&config.ControlPlaneAddrs, "at", nil, "HTTP addresses of stewards")
	flags.StringSliceVar(&config.OperationAddrs, "place", nil, "addresses where acts land")
	flags.IntVar(&config.MaxTasks, "cap", config.MaxTasks, "duties that it holds at most")
	flags.Float64Var(&config.ClockRate, "clock", config.ClockRate, "rate of its clock")
	return cmd
}
