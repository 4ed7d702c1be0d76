package capacity

import (
	"math"
	"testing"
)

// checkNear checks that two values are equal up to rounding errors.
func checkNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s is %v, want %v", name, got, want)
	}
}

// The expected values are calculated by hand: mean size 2.5, mean value 5.25, and sums of squared
// deviations of the sizes 5, of products 10.5, of squared residuals 0.7, of squared deviations of the
// values 22.75.
func TestFitLineValues(t *testing.T) {
	fit := FitLine([]Point{{1, 2}, {2, 4}, {3, 7}, {4, 8}})
	checkNear(t, "slope", fit.Slope, 2.1)
	checkNear(t, "intercept", fit.Intercept, 0)
	checkNear(t, "standard error of the slope", fit.SlopeError, math.Sqrt(0.35/5))
	checkNear(t, "R²", fit.RSquared, 1-0.7/22.75)
	checkNear(t, "value at 10", fit.At(10), 21)
	if fit.Sizes != 4 || fit.LargestSize != 4 || !fit.Known() {
		t.Errorf("4 sizes up to 4, got %+v", fit)
	}
	if fit.LargestOutlier != 0 {
		t.Errorf("outlier at %v, though no point is off the line by a quarter", fit.LargestOutlier)
	}
	size, rises := fit.SizeAt(42)
	if checkNear(t, "size at 42", size, 20); !rises {
		t.Error("a line with slope 2.1 rises")
	}
}

func TestFitLineNeedsFourSizes(t *testing.T) {
	// Five points, but three sizes.
	fit := FitLine([]Point{{1, 1}, {1, 1}, {2, 2}, {2, 2}, {3, 3}})
	if fit.Known() || fit.Sizes != 3 || fit.Slope != 0 {
		t.Errorf("a fit with three sizes: %+v", fit)
	}
	if fit := FitLine(nil); fit.Known() || fit.Sizes != 0 {
		t.Errorf("a fit without points: %+v", fit)
	}
}

func TestFitLineOfConstant(t *testing.T) {
	fit := FitLine([]Point{{1, 5}, {2, 5}, {3, 5}, {4, 5}})
	checkNear(t, "slope", fit.Slope, 0)
	checkNear(t, "intercept", fit.Intercept, 5)
	checkNear(t, "R²", fit.RSquared, 1)
	if fit.LargestOutlier != 0 {
		t.Errorf("outlier of a constant at %v", fit.LargestOutlier)
	}
	if _, reached := fit.SizeAt(6); reached {
		t.Error("a constant of 5 reaches 6")
	}
}

func TestFitLineFindsBend(t *testing.T) {
	// A straight line up to size 4, then a slope nine times as steep.
	fit := FitLine([]Point{{1, 10}, {2, 20}, {3, 30}, {4, 40}, {8, 400}})
	if fit.LargestOutlier == 0 {
		t.Fatalf("no outlier found: %+v", fit)
	}
	// The point at size 8 pulls the line towards it, so the largest size that is off the line by a
	// quarter is 4.
	if fit.LargestOutlier != 4 {
		t.Errorf("largest outlier at %v, want 4", fit.LargestOutlier)
	}
	// One of twenty points is off the line by more than three standard errors, but by less than a quarter.
	var points []Point
	for size := 1.0; size <= 20; size++ {
		points = append(points, Point{size, 1000 + size})
	}
	points[9].Value += 100
	if fit := FitLine(points); fit.LargestOutlier != 10 {
		t.Errorf("largest outlier at %v, want 10", fit.LargestOutlier)
	}
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 0.0572345: "0.0572", 1234.5: "1,230", 39_000: "39,000", 4_803_211: "4,800,000",
		-1234.5: "-1,230", 999.6: "1,000", 5.84321e-7: "5.84e-07", 0.000625: "0.000625",
		math.NaN(): unknown, math.Inf(1): unknown,
	} {
		if got := formatNumber(value); got != want {
			t.Errorf("%v is printed as %s, want %s", value, got, want)
		}
	}
}
