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

// TestCommandLineKeepsCommandsAndFlags requires that the command line has each command of the golden file, under
// its name or an alias, with its arguments and flags. The file lists those that scripts and operators use;
// further ones may be added.
func TestCommandLineKeepsCommandsAndFlags(t *testing.T) {
	var got []string
	var walk func(parent string, c *cobra.Command)
	walk = func(parent string, c *cobra.Command) {
		_, args, _ := strings.Cut(c.Use, " ")
		for _, name := range append([]string{c.Name()}, c.Aliases...) {
			path := parent + " " + name
			got = append(got, strings.TrimSpace(path+" "+args))
			c.LocalNonPersistentFlags().VisitAll(func(flag *pflag.Flag) { got = append(got, path+describeFlag(flag)) })
			for _, sub := range c.Commands() {
				walk(path, sub)
			}
		}
	}
	// The program's own name is not checked: the program is called by its path.
	root := newRootCommand(io.Discard)
	for _, c := range root.Commands() {
		walk("PROGRAM", c)
	}
	root.PersistentFlags().VisitAll(func(flag *pflag.Flag) { got = append(got, "PROGRAM"+describeFlag(flag)) })
	golden.Includes(t, "commands.txt", got)
}

// describeFlag returns a flag's name, type and default as the golden file has them.
func describeFlag(flag *pflag.Flag) string {
	short := ""
	if flag.Shorthand != "" {
		short = " -" + flag.Shorthand
	}
	return fmt.Sprintf(" --%s%s %s, default %q", flag.Name, short, flag.Value.Type(), flag.DefValue)
}
