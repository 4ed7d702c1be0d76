// Package table renders human-readable tables for terminals and Markdown pages. It is stateless.
package table

import (
	"errors"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// Terminal writes a table without borders. Cells are aligned to the right if numeric is set, and to the
// left otherwise. It returns an error if the layout fails, or the first write error of w.
func Terminal(w io.Writer, numeric bool, header []string, rows [][]string) error {
	rendition := tw.Rendition{
		Symbols: tw.NewSymbols(tw.StyleLight),
		Borders: tw.BorderNone,
		Settings: tw.Settings{
			Separators: tw.Separators{BetweenRows: tw.Off, BetweenColumns: tw.Off},
			Lines:      tw.Lines{ShowHeaderLine: tw.On},
		},
	}
	alignment := tw.AlignLeft
	if numeric {
		alignment = tw.AlignRight
	}
	return write(w, renderer.NewBlueprint(rendition), alignment, header, rows)
}

// Markdown writes a Markdown table with cells aligned to the right. It returns the same errors as
// Terminal.
func Markdown(w io.Writer, header []string, rows [][]string) error {
	return write(w, renderer.NewMarkdown(), tw.AlignRight, header, rows)
}

// write lays out a table with a renderer and writes it to w.
func write(w io.Writer, r tw.Renderer, alignment tw.Align, header []string, rows [][]string) error {
	out := &errorRecorder{w: w}
	t := tablewriter.NewTable(out, tablewriter.WithRenderer(r), tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithRowAlignment(alignment), tablewriter.WithHeaderAlignment(alignment))
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if err := errors.Join(t.Render(), out.err); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// errorRecorder wraps a writer and records its first error, which the renderer discards.
type errorRecorder struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (r *errorRecorder) Write(p []byte) (int, error) {
	n, err := r.w.Write(p)
	if r.err == nil {
		r.err = err
	}
	return n, err
}
