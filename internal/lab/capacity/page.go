package capacity

import (
	"fmt"
	"strings"
)

// Markers round a generated table; the first has the table's name.
const (
	beginMarker = "<!-- table: %s -->"
	endMarker   = "<!-- end -->"
)

// Render puts the tables between their markers and leaves all else as it is. A table whose
// markers are missing is an error.
func Render(page string, tables []Table) (string, error) {
	for _, table := range tables {
		before, _, after, err := cutTable(page, table.Name)
		if err != nil {
			return "", err
		}
		page = before + table.Text + after
	}
	return page, nil
}

// Differing returns the name of the first table that the page has in another wording; ""
// if it has all as they are.
func Differing(page string, tables []Table) (string, error) {
	for _, table := range tables {
		_, text, _, err := cutTable(page, table.Name)
		if err != nil {
			return "", err
		}
		if text != table.Text {
			return table.Name, nil
		}
	}
	return "", nil
}

// cutTable cuts the page at a table: what stands before its text, markers included, its
// text, and what follows.
func cutTable(page, name string) (before, text, after string, err error) {
	begin := fmt.Sprintf(beginMarker, name) + "\n"
	if strings.Count(page, begin) != 1 {
		return "", "", "", fmt.Errorf("page: needs one line %q", strings.TrimSpace(begin))
	}
	at := strings.Index(page, begin) + len(begin)
	length := strings.Index(page[at:], endMarker)
	if length < 0 {
		return "", "", "", fmt.Errorf("page: no %q after the table %s", endMarker, name)
	}
	if next := strings.Index(page[at:], strings.TrimSuffix(beginMarker, "%s -->")); next >= 0 && next < length {
		return "", "", "", fmt.Errorf("page: no %q after the table %s", endMarker, name)
	}
	return page[:at], page[at : at+length], page[at+length:], nil
}
