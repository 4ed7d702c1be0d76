package capacity

import "fmt"

// Basis says how a value was obtained.
type Basis int

// The bases, from the fewest assumptions to the most.
const (
	Unknown Basis = iota
	Measured
	Fitted       // by the line, up to extrapolationFactor times the largest measured size
	Extrapolated // by the line, beyond that
)

// Estimate is a value at one size of the fleet.
type Estimate struct {
	Value float64 // 0 where the basis is Unknown
	Basis Basis
	Sizes int // number of measured sizes; 0 for a value that is not estimated from a series
}

// At estimates the value at a size: the measured one where that size was run, else that of the
// fitted line. The basis is Unknown where the size was not run and there is no line.
func (s Series) At(size float64) Estimate {
	estimate := Estimate{Sizes: s.Fit.Sizes}
	for _, point := range s.Points {
		if point.Size == size {
			estimate.Value, estimate.Basis = point.Value, Measured
			return estimate
		}
	}
	if s.Fit.Known() {
		estimate.Value, estimate.Basis = s.Fit.At(size), s.Fit.basis(size)
	}
	return estimate
}

// basis returns the basis of the line's value at a size.
func (f Fit) basis(size float64) Basis {
	if size > extrapolationFactor*f.LargestSize {
		return Extrapolated
	}
	return Fitted
}

// String returns the value as the tables print it, with extrapolatedMark and belowZeroMark.
func (e Estimate) String() string {
	if e.Basis == Unknown {
		if e.Sizes == 0 {
			return unknown
		}
		return tooFewSizes(e.Sizes)
	}
	text := formatNumber(e.Value)
	if e.Basis != Measured && e.Value < 0 {
		text = "0" + belowZeroMark
	}
	if e.Basis == Extrapolated {
		text += extrapolatedMark
	}
	return text
}

// tooFewSizes is the text of a value that has too few measured sizes for a fit.
func tooFewSizes(sizes int) string { return fmt.Sprintf("%s: %d sizes", unknown, sizes) }
