package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// ScalingLimit is a limit of the system with the mechanisms that raise it.
type ScalingLimit struct {
	Name   string
	Needs  []Mechanism
	Before Threshold // without lastMechanism; equal to Now where only one variant was measured
	Now    Threshold
}

// orderTable lists the limits, ordered by the fleet size at which each is reached.
func orderTable(target *Target, data Dataset) string {
	limits := append(constantLimits(target), fittedLimits(target, data)...)
	slices.SortStableFunc(limits, compareLimits)
	var rows [][]string
	for i, limit := range limits {
		before := emptyCell
		if limit.Before != limit.Now {
			before = limit.Before.Text
		}
		rank := fmt.Sprint(i + 1)
		rows = append(rows, []string{rank, limit.Name, limit.Now.Text, before, limit.remedy(data), limit.Now.Source})
	}
	header := []string{"", "limit", "met at a fleet of", "before the last mechanism", "mechanism", "source"}
	return markdownTable(header, rows)
}

// compareLimits orders limits by status and then by size.
func compareLimits(a, b ScalingLimit) int {
	return cmp.Or(cmp.Compare(a.Now.Status, b.Now.Status), cmp.Compare(a.Now.Size, b.Now.Size))
}

// remedy describes the mechanisms that raise the limit. A limit that is reached at size 0 is exceeded by
// the constant part of the cost. Mechanisms that only slow the growth of the cost don't reduce that part.
func (l ScalingLimit) remedy(data Dataset) string {
	switch {
	case l.Now.Status == NotReached:
		return emptyCell
	case l.Now.Status == Reached && l.Now.Size == 0:
		return "the constant part of the cost first; " + data.describe(l.Needs)
	}
	return data.describe(l.Needs)
}
