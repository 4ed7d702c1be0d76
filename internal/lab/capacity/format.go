package capacity

import (
	"math"
	"strconv"
	"strings"
)

const (
	significantDigits = 3
	unknown           = "unknown" // a value that is neither measured nor derived
	emptyCell         = "–"       // an empty cell
	// extrapolatedMark follows a value at a size beyond extrapolationFactor times the largest measured
	// size.
	extrapolatedMark    = "*"
	extrapolationFactor = 3.0
	// belowZeroMark follows a 0 that is printed for a fitted value below zero.
	belowZeroMark = "†"
	// minPlainValue is the absolute value below which a number is printed with an exponent.
	minPlainValue = 1e-4
)

// formatNumber formats a value with at most significantDigits significant digits and with commas between
// thousands. It returns unknown for NaN and infinities.
func formatNumber(value float64) string {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return unknown
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if err != nil {
		return unknown
	}
	if rounded != 0 && math.Abs(rounded) < minPlainValue {
		return strconv.FormatFloat(rounded, 'g', -1, 64)
	}
	integer, fraction, hasFraction := strings.Cut(strconv.FormatFloat(rounded, 'f', -1, 64), ".")
	if !hasFraction {
		return groupThousands(integer)
	}
	return groupThousands(integer) + "." + fraction
}

// groupThousands inserts thousands separators into an integer, which may have a minus sign.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// markdownTable returns a Markdown table. In cells, runs of white space become single spaces and "|" is
// escaped.
func markdownTable(header []string, rows [][]string) string {
	var table strings.Builder
	writeRow := func(cells []string) {
		for _, cell := range cells {
			cell = strings.ReplaceAll(strings.Join(strings.Fields(cell), " "), "|", `\|`)
			table.WriteString("| " + cell + " ")
		}
		table.WriteString("|\n")
	}
	writeRow(header)
	table.WriteString(strings.Repeat("| --- ", len(header)) + "|\n")
	for _, row := range rows {
		writeRow(row)
	}
	return table.String()
}
