package capacity

import "math"

// Fit is a straight line through the points of a series. It minimizes the squares
// of the relative errors, so that small sizes have as much weight as large ones.
type Fit struct {
	Base  float64 `json:"base"`  // Y at X = 0
	Slope float64 `json:"slope"` // increase of Y per unit of X
	// Residual is the largest distance of a point from the line, as a fraction
	// of the point's Y.
	Residual float64 `json:"residual"`
	// Exponent is the slope of log Y against log X between the smallest and the
	// largest size: 0 is constant, 1 is linear, above 1 is superlinear.
	Exponent float64 `json:"exponent"`
	// Largest is the largest measured X. For a larger X, At extrapolates.
	Largest float64 `json:"largest"`
}

// FitLine fits a line to at least two points with positive Y. For a single point
// the line is constant; without points it is 0.
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

// Range returns the ratio of x to the largest measured size. A ratio of at most 1
// is within the measured sizes; at 10, x is ten times the largest one.
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

// weight returns the weight that makes the squared error of a point relative to
// its Y.
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
