// Command lab plays experiments on real processes: emulated programme servers, clients
// and links round the agents under test, with faults injected and the rules checked.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/report"
	"knotrouter/internal/lab/scale"
)

// errBroke is a run that did not hold; its verdict is printed already.
var errBroke = errors.New("broke")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	err := command(os.Stdout, os.Stderr).ExecuteContext(ctx)
	stop()
	switch {
	case err == nil:
	case errors.Is(err, errBroke):
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "lab:", strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(2)
	}
}

func command(out, progress io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "Play experiments on real agents, with faults between the processes",
		SilenceUsage: true, SilenceErrors: true,
		Long: "lab starts real agents beside emulated programme servers, a list service and clients,\n" +
			"injects the faults of an experiment's timeline and checks the rules by what servers\n" +
			"and clients saw. Everything is on loopback addresses and ends with the lab."}
	root.SetOut(out)
	root.AddCommand(runCommand(out, progress), listCommand(out), validateCommand(out), compareCommand(out), mutantsCommand(out), workerCommand())
	root.AddCommand(capacityCommand(out), costCommand(out, progress), hollowCommand(out))
	return root
}

func runCommand(out, progress io.Writer) *cobra.Command {
	var o experiment.Options
	var quiet bool
	cmd := &cobra.Command{Use: "run FILE.toml", Short: "Play an experiment and judge it", Args: cobra.ExactArgs(1),
		Long: "run plays an experiment, writes summary.json, report.md and plots into a folder, and\n" +
			"prints last one line: held with exit code 0, or what broke with exit code 1. A file that\n" +
			"makes no sense is one line that names the key, and exit code 2.",
		Example: "  lab run experiments/steady.toml\n  lab run experiments/herd.toml --seed 7 --out /tmp/herd-7 --quiet",
		RunE: func(cmd *cobra.Command, args []string) error {
			if scale.IsExperiment(args[0]) {
				return runScale(cmd.Context(), out, progress, args[0], o, quiet)
			}
			c, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if o.OutputDir == "" {
				o.OutputDir = filepath.Join("found", fmt.Sprintf("%s-%s", c.Name, time.Now().Format("20060102-150405")))
			}
			done := func() {}
			if !quiet {
				o.Progress, done = show(progress, c)
			}
			s, err := experiment.Run(cmd.Context(), c, o)
			done()
			if experiment.Interrupted(err) {
				fmt.Fprintf(out, "%s seed %d: broke: interrupted before its end\n", c.Name, seed(c, o))
				return errBroke
			}
			if err != nil {
				return err
			}
			if err := report.Write(o.OutputDir, s); err != nil {
				return fmt.Errorf("--out: %w", err)
			}
			return tell(out, o.OutputDir, s, quiet)
		}}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 0, "draw servers, arrivals and faults from this seed (default: the file's)")
	cmd.Flags().StringVar(&o.OutputDir, "out", "", "folder for the results (default: found/NAME-TIME)")
	cmd.Flags().BoolVar(&quiet, "quiet", false, "print the verdict only")
	return cmd
}

func seed(c *experiment.Config, o experiment.Options) uint64 {
	if o.Seed != 0 {
		return o.Seed
	}
	return c.Seed
}

// tell prints what a run showed; the verdict last.
func tell(out io.Writer, dir string, s *experiment.Summary, quiet bool) error {
	if !quiet {
		if err := report.Tables(out, s); err != nil {
			return err
		}
		fmt.Fprintf(out, "\nlab: requests left %.2f ms late at p99; results and plots in %s\n", s.Lab.LatenessP99Ms, dir)
		for _, b := range s.Violations {
			fmt.Fprintln(out, "broke:", b)
		}
	}
	fmt.Fprintln(out, report.ResultLine(s))
	if !s.Passed {
		return errBroke
	}
	return nil
}

// show tells how far a run is: a bar on a terminal, else a line now and then.
func show(w io.Writer, c *experiment.Config) (func(experiment.Progress), func()) {
	words := func(p experiment.Progress) string {
		text := fmt.Sprintf("%5.1f/%.0f s  asked %d  in time %d  late %d  refused %d  failed %d",
			p.ElapsedSeconds, p.TotalSeconds, p.Requests, p.InTime, p.Late, p.Rejected, p.Failed)
		if p.Breaches > 0 {
			text += fmt.Sprintf("  BREACHES %d", p.Breaches)
		}
		if len(p.ActiveFaults) > 0 {
			text += "  [" + strings.Join(p.ActiveFaults, ", ") + "]"
		}
		return text
	}
	f, isFile := w.(*os.File)
	if !isFile || !isatty.IsTerminal(f.Fd()) {
		last := time.Time{}
		return func(p experiment.Progress) {
			if p.Phase != "running" || time.Since(last) < 2*time.Second {
				return
			}
			last = time.Now()
			fmt.Fprintln(w, words(p))
		}, func() {}
	}
	bars := mpb.New(mpb.WithOutput(w), mpb.WithWidth(40))
	var last atomic.Pointer[experiment.Progress] // told and drawn in goroutines of their own
	last.Store(&experiment.Progress{Phase: "starting"})
	bar := bars.AddBar(int64(c.Duration/time.Millisecond), mpb.PrependDecorators(decor.Name(c.Name+" ")),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			now := last.Load()
			if now.Phase != "running" {
				return now.Phase
			}
			return words(*now)
		})))
	return func(p experiment.Progress) {
			last.Store(&p)
			bar.SetCurrent(int64(p.ElapsedSeconds * 1000))
		}, func() {
			bar.Abort(false)
			bars.Wait()
		}
}

func listCommand(out io.Writer) *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "list", Short: "List the experiments of a folder", Args: cobra.NoArgs,
		Example: "  lab list\n  lab list --dir /tmp/mine",
		RunE: func(*cobra.Command, []string) error {
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
			if len(files) == 0 {
				return fmt.Errorf("--dir: no experiment in %s", dir)
			}
			sort.Strings(files)
			for _, f := range files {
				if scale.IsExperiment(f) {
					listScale(out, f)
					continue
				}
				c, err := experiment.Load(f)
				if err != nil {
					fmt.Fprintf(out, "%-28s cannot be read: %v\n", filepath.Base(f), err)
					continue
				}
				about, _, _ := strings.Cut(strings.TrimSpace(c.Description), "\n")
				fmt.Fprintf(out, "%-28s %4.0fs  %3d agents  %3d servers  %s\n", filepath.Base(f), c.Duration.Seconds(),
					c.Agents.Count, c.Servers.Count, about)
			}
			return nil
		}}
	cmd.Flags().StringVar(&dir, "dir", "experiments", "folder to look in")
	return cmd
}

func validateCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "validate FILE.toml ...", Short: "Check experiment files without playing them", Args: cobra.MinimumNArgs(1),
		Example: "  lab validate experiments/*.toml",
		RunE: func(_ *cobra.Command, args []string) error {
			for _, f := range args {
				if scale.IsExperiment(f) {
					c, err := scale.Load(f)
					if err != nil {
						return err
					}
					fmt.Fprintf(out, "%s: %s is fine\n", f, c.Name)
					continue
				}
				c, err := experiment.Load(f)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s is fine\n", f, c.Name)
			}
			return nil
		}}
}

func compareCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "compare DIR DIR", Short: "Set two results side by side", Args: cobra.ExactArgs(2),
		Example: "  lab compare found/steady-before found/steady-after",
		RunE: func(_ *cobra.Command, args []string) error {
			if isScale(args[0]) && isScale(args[1]) {
				return compareScale(out, args[0], args[1])
			}
			a, err := report.Read(args[0])
			if err != nil {
				return err
			}
			b, err := report.Read(args[1])
			if err != nil {
				return err
			}
			return report.Compare(out, a, b)
		}}
}
