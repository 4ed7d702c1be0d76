package capacity

import "math"

// ThresholdStatus says whether a limit is reached as the fleet grows. The values are in the order
// of the limits table.
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
	Size   float64 // in servers or watches; +Inf where a fitted line never reaches the limit
	Text   string  // the size as the table prints it
	Source string  // the measurement or constant that the size follows from, as the table prints it
}

// unmeasuredThreshold is the threshold of a limit without any measurement.
func unmeasuredThreshold() Threshold {
	return Threshold{Status: Unmeasured, Text: unknown, Source: "not measured"}
}

// thresholdAt returns the threshold at a known size: NotReached where the target is smaller than
// the size, else Reached.
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

// threshold returns the smallest size at which the series reaches a limit: a measured size whose
// value is at least the limit, or the size at which the fitted line reaches it. It is Unmeasured
// where no measured value is that large and there is no line.
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

// smallestSizeWith returns the smallest measured size whose value is at least the limit. It returns
// false where no value is.
func (s Series) smallestSizeWith(limit float64) (float64, bool) {
	smallest, found := 0.0, false
	for _, point := range s.Points {
		if point.Value >= limit && (!found || point.Size < smallest) {
			smallest, found = point.Size, true
		}
	}
	return smallest, found
}
