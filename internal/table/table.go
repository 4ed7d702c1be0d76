// Package table writes tables for people: on a terminal, and in a page.
package table

import (
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// Terminal writes a table without a frame, its words on the left and, if numbers is set,
// its columns on the right.
func Terminal(w io.Writer, numbers bool, head []string, rows [][]string) error {
	return write(w, renderer.NewBlueprint(tw.Rendition{Symbols: tw.NewSymbols(tw.StyleLight), Borders: tw.BorderNone,
		Settings: tw.Settings{Separators: tw.Separators{BetweenRows: tw.Off, BetweenColumns: tw.Off}, Lines: tw.Lines{ShowHeaderLine: tw.On}}}),
		numbers, head, rows)
}

// Markdown writes a table of a page.
func Markdown(w io.Writer, head []string, rows [][]string) error {
	return write(w, renderer.NewMarkdown(), true, head, rows)
}

func write(w io.Writer, r tw.Renderer, numbers bool, head []string, rows [][]string) error {
	align := tw.AlignLeft
	if numbers {
		align = tw.AlignRight
	}
	t := tablewriter.NewTable(w, tablewriter.WithRenderer(r), tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithRowAlignment(align), tablewriter.WithHeaderAlignment(align))
	t.Header(head)
	if err := t.Bulk(rows); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if err := t.Render(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
