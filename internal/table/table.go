// Package table writes tables for people, on a terminal or in a Markdown page. It keeps no state.
package table

import (
	"errors"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// Terminal writes a table without a frame. Its cells are aligned to the right if they are numbers, and
// to the left otherwise. It returns an error if the table can't be laid out, or the first one of w.
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

// Markdown writes a Markdown table with its cells aligned to the right. Its errors are those of
// Terminal.
func Markdown(w io.Writer, header []string, rows [][]string) error {
	return write(w, renderer.NewMarkdown(), tw.AlignRight, header, rows)
}

// write lays a table out for a renderer and writes it.
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

// errorRecorder is a writer that keeps the first error of another one, as the renderer drops it.
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
