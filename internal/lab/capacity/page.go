package capacity

import (
	"fmt"
	"strings"
)

// Lines of the page that enclose a generated table. The first one contains the table's name.
const (
	beginMarkerPrefix = "<!-- table: "
	beginMarkerSuffix = " -->"
	endMarker         = "<!-- end -->"
)

// Render returns the page with the text between the markers of each table replaced by the table. It
// returns an error for a table that doesn't have exactly one pair of markers in the page.
func Render(page string, tables []Table) (string, error) {
	for _, table := range tables {
		before, _, after, err := splitAtTable(page, table.Name)
		if err != nil {
			return "", err
		}
		page = before + table.Text + after
	}
	return page, nil
}

// OutdatedTable returns the name of the first table that differs from its text in the page, or "" if
// there is none. Its errors are those of Render.
func OutdatedTable(page string, tables []Table) (string, error) {
	for _, table := range tables {
		_, text, _, err := splitAtTable(page, table.Name)
		if err != nil {
			return "", err
		}
		if text != table.Text {
			return table.Name, nil
		}
	}
	return "", nil
}

// splitAtTable splits the page at a table: the text up to and including the begin marker, the table's
// text, and the rest from the end marker on.
func splitAtTable(page, name string) (before, text, after string, err error) {
	begin := beginMarkerPrefix + name + beginMarkerSuffix
	if strings.Count(page, begin+"\n") != 1 {
		return "", "", "", fmt.Errorf("page: needs one line %q", begin)
	}
	before, rest, _ := strings.Cut(page, begin+"\n")
	text, after, ended := strings.Cut(rest, endMarker)
	if !ended || strings.Contains(text, beginMarkerPrefix) {
		return "", "", "", fmt.Errorf("page: no %q after the table %s", endMarker, name)
	}
	return before + begin + "\n", text, endMarker + after, nil
}
