package capacity

import (
	"math"
	"strconv"
	"strings"
)

const (
	significantDigits = 3
	unknown           = "unknown"
	none              = "–"
	// farMark follows a value that is extrapolated beyond farFactor times the largest
	// measured size, and belowMark a line's value below zero, printed as 0.
	farMark   = "*"
	belowMark = "†"
	farFactor = 3.0
)

// formatNumber prints a value with at most three significant digits, and thousands apart.
func formatNumber(value float64) string {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return unknown
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if err != nil {
		return unknown
	}
	if rounded != 0 && math.Abs(rounded) < 1e-4 {
		return strconv.FormatFloat(rounded, 'g', -1, 64)
	}
	text := strconv.FormatFloat(rounded, 'f', -1, 64)
	whole, fraction, hasFraction := strings.Cut(text, ".")
	text = groupThousands(whole)
	if hasFraction {
		text += "." + fraction
	}
	return text
}

// groupThousands puts commas into the digits of a whole number.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for at := len(digits) - 3; at > 0; at -= 3 {
		digits = digits[:at] + "," + digits[at:]
	}
	return sign + digits
}

// markdownTable writes a table; a bar inside a cell is escaped.
func markdownTable(head []string, rows [][]string) string {
	var b strings.Builder
	writeRow := func(cells []string) {
		for _, cell := range cells {
			cell = strings.ReplaceAll(strings.Join(strings.Fields(cell), " "), "|", `\|`)
			b.WriteString("| " + cell + " ")
		}
		b.WriteString("|\n")
	}
	writeRow(head)
	b.WriteString(strings.Repeat("| --- ", len(head)) + "|\n")
	for _, row := range rows {
		writeRow(row)
	}
	return b.String()
}
