package capacity

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// MinSizes is the least number of distinct sizes for a fit.
	MinSizes = 4
	// A point is an outlier if its residual is larger than maxResidualErrors standard errors of the
	// residuals, or larger than maxResidualShare of the fitted value.
	maxResidualErrors = 3.0
	maxResidualShare  = 0.25
	// roundingShare is the share of a value up to which a residual counts as a rounding error.
	roundingShare = 1e-9
)

// Point is a measured value at one size of the fleet.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope          float64
	Intercept      float64
	SlopeError     float64 // standard error of the slope
	RSquared       float64 // coefficient of determination
	Sizes          int     // number of distinct sizes of the points
	LargestSize    float64 // largest size of the points
	LargestOutlier float64 // largest size whose point is an outlier, or 0 if there is none
}

// FitLine fits a line to the points. With fewer than MinSizes distinct sizes, only Sizes and LargestSize
// of the result are set, and Known is false.
func FitLine(points []Point) Fit {
	var sizes, values []float64
	for _, point := range points {
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
	}
	fit := Fit{Sizes: countDistinct(sizes)}
	if len(sizes) > 0 {
		fit.LargestSize = slices.Max(sizes)
	}
	if !fit.Known() {
		return fit
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	residualError := fit.residualError(points)
	fit.SlopeError = residualError / math.Sqrt(sumOfSquaredDeviations(sizes))
	fit.RSquared = stat.RSquared(sizes, values, nil, fit.Intercept, fit.Slope)
	if math.IsNaN(fit.RSquared) { // all values are equal and on the line
		fit.RSquared = 1
	}
	fit.LargestOutlier = fit.largestOutlier(points, residualError)
	return fit
}

// Known reports whether there were enough sizes for a fit.
func (f Fit) Known() bool { return f.Sizes >= MinSizes }

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// SizeAt returns the smallest size, at least 0, at which the line reaches the value. It returns false if
// there is none, because the line doesn't rise and its intercept is below the value.
func (f Fit) SizeAt(value float64) (float64, bool) {
	if f.Slope <= 0 {
		return 0, f.Intercept >= value
	}
	return max((value-f.Intercept)/f.Slope, 0), true
}

// sumOfSquaredDeviations returns the sum of the squared differences of the values from their mean.
func sumOfSquaredDeviations(values []float64) float64 {
	mean := stat.Mean(values, nil)
	var sum float64
	for _, value := range values {
		sum += (value - mean) * (value - mean)
	}
	return sum
}

// residualError returns the standard error of the residuals, or 0 if it is within rounding errors. A
// line has two parameters, so the number of degrees of freedom is that of the points minus two.
func (f Fit) residualError(points []Point) float64 {
	var sum float64
	for _, point := range points {
		residual := point.Value - f.At(point.Size)
		sum += residual * residual
	}
	residualError := math.Sqrt(sum / float64(len(points)-2))
	if residualError <= roundingShare*math.Abs(f.At(f.LargestSize)) {
		return 0
	}
	return residualError
}

// largestOutlier returns the largest size whose point is an outlier, or 0 if there is none.
func (f Fit) largestOutlier(points []Point, residualError float64) float64 {
	var largest float64
	for _, point := range points {
		if f.isOutlier(point, residualError) {
			largest = max(largest, point.Size)
		}
	}
	return largest
}

func (f Fit) isOutlier(point Point, residualError float64) bool {
	fitted := f.At(point.Size)
	residual := math.Abs(point.Value - fitted)
	if residual <= roundingShare*math.Abs(point.Value) {
		return false
	}
	return residual > maxResidualErrors*residualError || residual > maxResidualShare*math.Abs(fitted)
}

// meanBySize returns a point for each size with the mean of the points of that size, in order of size.
func meanBySize(points []Point) []Point {
	values := map[float64][]float64{}
	for _, point := range points {
		values[point.Size] = append(values[point.Size], point.Value)
	}
	var means []Point
	for size, sameSize := range values {
		means = append(means, Point{Size: size, Value: stat.Mean(sameSize, nil)})
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
