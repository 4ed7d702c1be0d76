package capacity

import "math"

// ThresholdStatus says whether a limit is reached as the fleet grows. The order table sorts limits by
// it.
type ThresholdStatus int

const (
	// Reached means that the limit is reached at Threshold.Size, at or below the target's size.
	Reached ThresholdStatus = iota
	// Structural means that the limit applies at every size.
	Structural
	// Unmeasured means that there are too few measurements to tell.
	Unmeasured
	// NotReached means that the limit is not reached at the target's size.
	NotReached
)

// Threshold is the fleet size at which a limit is reached.
type Threshold struct {
	Status ThresholdStatus
	Size   float64 // in servers or watches; +Inf if a fitted line never reaches the limit
	Text   string  // the size as the table prints it
	Source string  // the measurement or constant that determines the size, as the table prints it
}

// unmeasuredThreshold returns the threshold of a limit without measurements.
func unmeasuredThreshold() Threshold {
	return Threshold{Status: Unmeasured, Text: unknown, Source: "not measured"}
}

// thresholdAt returns the threshold at a known size: NotReached if the size is above the target's, else
// Reached.
func thresholdAt(target *Target, size float64, basis Basis, source string) Threshold {
	text := Estimate{Value: size, Basis: basis}.String()
	switch {
	case size > target.Servers:
		return Threshold{Status: NotReached, Size: size, Text: "not at the target; at " + text, Source: source}
	case size == 0:
		return Threshold{Status: Reached, Size: size, Text: "any size", Source: source}
	}
	return Threshold{Status: Reached, Size: size, Text: text, Source: source}
}

// threshold returns the smallest size at which the series reaches a limit: the smallest measured size
// with a value of at least the limit, or the size at which the fitted line reaches it. It is Unmeasured
// if no measured value is that large and there is no fitted line.
func (s Series) threshold(target *Target, limit float64) Threshold {
	source := label(s.Key) + ", " + s.Load + ", over " + string(s.Variable)
	measuredSize, measured := s.smallestSizeWith(limit)
	atMeasuredSize := thresholdAt(target, measuredSize, Measured, source+", measured")
	if !s.Fit.Known() {
		if !measured {
			return Threshold{Status: Unmeasured, Text: unknown, Source: source}
		}
		return atMeasuredSize
	}
	fittedSize, fitted := s.Fit.SizeAt(limit)
	switch {
	case !fitted && !measured:
		return Threshold{Status: NotReached, Size: math.Inf(1), Text: "not at the target: it doesn't rise", Source: source}
	case !fitted || measured && measuredSize < fittedSize:
		return atMeasuredSize
	}
	return thresholdAt(target, fittedSize, s.Fit.basis(fittedSize), source)
}

// smallestSizeWith returns the smallest measured size with a value of at least the limit, and whether
// there is one.
func (s Series) smallestSizeWith(limit float64) (float64, bool) {
	smallest, found := 0.0, false
	for _, point := range s.Points {
		if point.Value >= limit && (!found || point.Size < smallest) {
			smallest, found = point.Size, true
		}
	}
	return smallest, found
}
