package main

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"knotrouter/internal/lab/golden"
)

// TestCommandLineKeepsCommandsAndFlags holds each command with its arguments and flags, under its
// name or an alias. Others may come beside them: the golden file has what scripts and operators use.
func TestCommandLineKeepsCommandsAndFlags(t *testing.T) {
	var got []string
	var walk func(parent string, c *cobra.Command)
	walk = func(parent string, c *cobra.Command) {
		_, args, _ := strings.Cut(c.Use, " ")
		for _, name := range append([]string{c.Name()}, c.Aliases...) {
			path := parent + " " + name
			got = append(got, strings.TrimSpace(path+" "+args))
			c.LocalNonPersistentFlags().VisitAll(func(f *pflag.Flag) { got = append(got, path+flag(f)) })
			for _, sub := range c.Commands() {
				walk(path, sub)
			}
		}
	}
	// The program's own name is not held: it is called by the path to its file.
	root := command(io.Discard)
	for _, c := range root.Commands() {
		walk("PROGRAM", c)
	}
	root.PersistentFlags().VisitAll(func(f *pflag.Flag) { got = append(got, "PROGRAM"+flag(f)) })
	golden.Includes(t, "commands.txt", got)
}

func flag(f *pflag.Flag) string {
	short := ""
	if f.Shorthand != "" {
		short = " -" + f.Shorthand
	}
	return fmt.Sprintf(" --%s%s %s, default %q", f.Name, short, f.Value.Type(), f.DefValue)
}
