package capacity

import "math"

// Fit is a straight line through the points of a series, by least squares of
// the relative error, so that small sizes count as much as large ones.
type Fit struct {
	Base  float64 `json:"base"`  // Y at X = 0
	Slope float64 `json:"slope"` // Y for one more X
	// Residual is the largest distance of a point from the line, as a part of
	// the point's Y.
	Residual float64 `json:"residual"`
	// Exponent is the slope of log Y against log X between the smallest and the
	// largest size: 1 is linear, 0 is constant, above 1 grows faster.
	Exponent float64 `json:"exponent"`
	// Largest is the largest X that was measured; beyond it At extrapolates.
	Largest float64 `json:"largest"`
}

// FitLine fits a line to at least two points with positive Y; fewer give a
// constant.
func FitLine(points []Point) Fit {
	var fit Fit
	if len(points) == 0 {
		return fit
	}
	fit.Base, fit.Slope = leastSquares(points)
	for _, p := range points {
		fit.Largest = max(fit.Largest, p.X)
		if p.Y != 0 {
			fit.Residual = max(fit.Residual, math.Abs(fit.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	fit.Exponent = exponent(points[0], points[len(points)-1])
	return fit
}

// At returns the line's Y at x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Range returns how far x lies beyond the largest size measured: 1 or less is
// measured, 10 is ten times as large.
func (f Fit) Range(x float64) float64 {
	if f.Largest == 0 {
		return math.Inf(1)
	}
	return x / f.Largest
}

func leastSquares(points []Point) (base, slope float64) {
	var weights, meanX, meanY float64
	for _, p := range points {
		w := weight(p)
		weights += w
		meanX += w * p.X
		meanY += w * p.Y
	}
	meanX /= weights
	meanY /= weights
	var covariance, variance float64
	for _, p := range points {
		w := weight(p)
		covariance += w * (p.X - meanX) * (p.Y - meanY)
		variance += w * (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return meanY, 0
	}
	slope = covariance / variance
	return meanY - slope*meanX, slope
}

// weight makes the squared error relative to the point's own size.
func weight(p Point) float64 {
	if p.Y == 0 {
		return 1
	}
	return 1 / (p.Y * p.Y)
}

func exponent(first, last Point) float64 {
	if first.X <= 0 || last.X <= first.X || first.Y <= 0 || last.Y <= 0 {
		return 0
	}
	return math.Log(last.Y/first.Y) / math.Log(last.X/first.X)
}
