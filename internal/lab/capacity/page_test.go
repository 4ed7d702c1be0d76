package capacity

import (
	"os"
	"strings"
	"testing"
)

const testPage = "# Prose\n\n<!-- table: one -->\n<!-- end -->\n\nmore prose\n\n<!-- table: two -->\nold\n<!-- end -->\nend\n"

func TestRenderReplacesTables(t *testing.T) {
	tables := []Table{{"one", "| a |\n"}, {"two", "| b |\n"}}
	page, err := Render(testPage, tables)
	if err != nil {
		t.Fatal(err)
	}
	want := "# Prose\n\n<!-- table: one -->\n| a |\n<!-- end -->\n\nmore prose\n\n<!-- table: two -->\n| b |\n<!-- end -->\nend\n"
	if page != want {
		t.Errorf("page is %q", page)
	}
	if again, err := Render(page, tables); err != nil || again != page {
		t.Errorf("rendered again, the page is %q (%v)", again, err)
	}
	if name, err := OutdatedTable(page, tables); err != nil || name != "" {
		t.Errorf("table %q differs from itself (%v)", name, err)
	}
	if name, err := OutdatedTable(strings.Replace(page, "| b |", "| c |", 1), tables); err != nil || name != "two" {
		t.Errorf("%q differs, want two (%v)", name, err)
	}
}

func TestRenderRejectsBadMarkers(t *testing.T) {
	for name, page := range map[string]string{
		"no marker":        "prose\n",
		"no end":           "<!-- table: one -->\n",
		"end of the next":  "<!-- table: one -->\n<!-- table: two -->\n<!-- end -->\n",
		"marker twice":     "<!-- table: one -->\n<!-- end -->\n<!-- table: one -->\n<!-- end -->\n",
		"end stands first": "<!-- end -->\n<!-- table: one -->\n",
	} {
		if _, err := Render(page, []Table{{"one", "x\n"}}); err == nil || !strings.Contains(err.Error(), "one") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestParseTargetNamesInvalidKey(t *testing.T) {
	valid, err := os.ReadFile(targetPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"zones = 22", "zones = 22\nzonez = 3", "zonez: unknown key"},
		{"machines_per_day = 97", "machines_a_day = 97", "failures.machines_a_day: unknown key"},
		{"zones = 22", "", "zones: missing"},
		{"zones = 22", "zones = 0", "zones: must be above 0, is 0"},
		{"zones = 22", "zones = nan", "zones: must be above 0, is NaN"},
		{"zones = 22", `zones = "many"`, "zones"},
		{"zones = 22", "zones = [", "no TOML"},
	} {
		_, err := ParseTarget([]byte(strings.Replace(string(valid), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q in place of %q: error %q, want one line with %q", c.new, c.old, err, c.want)
		}
	}
}
