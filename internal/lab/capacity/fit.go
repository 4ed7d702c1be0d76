package capacity

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// MinSizes is the number of different sizes that a fit needs.
	MinSizes = 4
	// A point is off the line when its residual is larger than maxResidualErrors standard
	// errors of the residuals, or than maxResidualShare of the fitted value.
	maxResidualErrors = 3.0
	maxResidualShare  = 0.25
	// roundingShare is the part of a value below which a residual counts as rounding.
	roundingShare = 1e-9
)

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a straight line through points by least squares.
type Fit struct {
	Slope      float64
	Intercept  float64
	SlopeError float64 // standard error of the slope
	RSquared   float64
	Sizes      int     // different sizes among the points
	Largest    float64 // largest size
	Bend       float64 // largest size whose point is off the line; 0: none is
}

// FitLine fits a line to the points. With fewer than MinSizes sizes only Sizes and Largest
// are set, and Known is false.
func FitLine(points []Point) Fit {
	var sizes, values []float64
	for _, p := range points {
		sizes = append(sizes, p.Size)
		values = append(values, p.Value)
	}
	fit := Fit{Sizes: countDistinct(sizes)}
	if len(sizes) > 0 {
		fit.Largest = slices.Max(sizes)
	}
	if !fit.Known() {
		return fit
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	residualError := fit.residualError(points)
	meanSize := stat.Mean(sizes, nil)
	var spread float64
	for _, size := range sizes {
		spread += (size - meanSize) * (size - meanSize)
	}
	fit.SlopeError = residualError / math.Sqrt(spread)
	fit.RSquared = stat.RSquared(sizes, values, nil, fit.Intercept, fit.Slope)
	if math.IsNaN(fit.RSquared) { // all values are equal, and the line goes through them
		fit.RSquared = 1
	}
	fit.Bend = fit.bend(points, residualError)
	return fit
}

// Known reports whether there were sizes enough for a line.
func (f Fit) Known() bool { return f.Sizes >= MinSizes }

// At is the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// SizeAt is the size at which the line reaches a value. It is false where the line does not
// rise. A line that begins above the value reaches it at size 0.
func (f Fit) SizeAt(value float64) (float64, bool) {
	if f.Slope <= 0 {
		return 0, f.Intercept >= value
	}
	return max((value-f.Intercept)/f.Slope, 0), true
}

// residualError is the standard error of the residuals, with two degrees of freedom less
// than there are points.
func (f Fit) residualError(points []Point) float64 {
	var sum float64
	for _, p := range points {
		residual := p.Value - f.At(p.Size)
		sum += residual * residual
	}
	residualError := math.Sqrt(sum / float64(len(points)-2))
	if residualError <= roundingShare*math.Abs(f.At(f.Largest)) {
		return 0
	}
	return residualError
}

// bend is the largest size whose point is off the line; 0 if none is.
func (f Fit) bend(points []Point, residualError float64) float64 {
	var largest float64
	for _, p := range points {
		residual := math.Abs(p.Value - f.At(p.Size))
		if residual <= roundingShare*math.Abs(p.Value) {
			continue
		}
		if residual > maxResidualErrors*residualError || residual > maxResidualShare*math.Abs(f.At(p.Size)) {
			largest = max(largest, p.Size)
		}
	}
	return largest
}

// meanBySize replaces the points of each size by their mean, in order of size.
func meanBySize(points []Point) []Point {
	values := map[float64][]float64{}
	for _, p := range points {
		values[p.Size] = append(values[p.Size], p.Value)
	}
	var means []Point
	for size, all := range values {
		means = append(means, Point{Size: size, Value: stat.Mean(all, nil)})
	}
	slices.SortFunc(means, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return means
}

func countDistinct(values []float64) int {
	distinct := map[float64]bool{}
	for _, v := range values {
		distinct[v] = true
	}
	return len(distinct)
}
