// Package capacity measures on one machine how the cost of the control plane grows with the number of
// members, and extrapolates the cost of each role to larger sizes from these slopes. Command capacity writes
// the result into docs/CAPACITY.md.
package capacity

import "math"

// Line is a straight line fitted to measured points by least squares.
type Line struct {
	Intercept, Slope float64
	R2               float64 // coefficient of determination, at most 1
	From, To         float64 // measured range of x
}

// Fit returns the least-squares line through the points. With fewer than two different values of x the slope
// is NaN.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy float64
	l := Line{From: math.Inf(1), To: math.Inf(-1)}
	for i := range x {
		sx += x[i]
		sy += y[i]
		l.From, l.To = min(l.From, x[i]), max(l.To, x[i])
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-sx/n, y[i]-sy/n
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	l.Slope = xy / xx
	l.Intercept = sy/n - l.Slope*sx/n
	l.R2 = 1
	if yy > 0 {
		l.R2 = xy * xy / (xx * yy)
	}
	return l
}

// At returns the value of the line at x. A negative intercept, which is due to noise, counts as zero.
func (l Line) At(x float64) float64 { return max(l.Intercept, 0) + l.Slope*x }
