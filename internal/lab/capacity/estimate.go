package capacity

import "fmt"

// Basis is the way in which a value was obtained.
type Basis int

// The bases. After Unknown, each one is less certain than the one before it.
const (
	Unknown Basis = iota
	Measured
	Fitted       // on the fitted line, up to extrapolationFactor times the largest measured size
	Extrapolated // on the fitted line, beyond extrapolationFactor times the largest measured size
)

// Estimate is a value at one size of the fleet.
type Estimate struct {
	Value float64 // 0 if the basis is Unknown
	Basis Basis
	Sizes int // number of measured sizes; 0 for a value that is not estimated from a series
}

// At estimates the value at a size: the measured value if that size was run, else the value of the
// fitted line. The basis is Unknown if the size was not run and there is no line.
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

// basis returns the basis of the fitted value at a size.
func (f Fit) basis(size float64) Basis {
	if size > extrapolationFactor*f.LargestSize {
		return Extrapolated
	}
	return Fitted
}

// String returns the value as the tables print it, with extrapolatedMark or belowZeroMark where they
// apply.
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

// tooFewSizes returns the text for a value with too few measured sizes for a fit.
func tooFewSizes(sizes int) string { return fmt.Sprintf("%s: %d sizes", unknown, sizes) }
