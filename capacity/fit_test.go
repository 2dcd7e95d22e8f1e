package capacity_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/capacity"
)

func TestFitOfPointsOnALine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		base := rapid.Float64Range(1, 1e6).Draw(t, "base")
		slope := rapid.Float64Range(0, 1e3).Draw(t, "slope")
		var points []capacity.Point
		for _, x := range []float64{1, 10, 100, 1000} {
			points = append(points, capacity.Point{X: x, Y: base + slope*x})
		}

		fit := capacity.FitLine(points)

		g.Expect(fit.Residual).To(gomega.BeNumerically("<", 1e-6))
		g.Expect(fit.At(5000)).To(gomega.BeNumerically("~", base+slope*5000, 1e-5*(base+slope*5000)))
		g.Expect(fit.Largest).To(gomega.Equal(1000.0))
		g.Expect(fit.Range(5000)).To(gomega.Equal(5.0))
	})
}

func TestExponentOfGrowth(t *testing.T) {
	cases := []struct {
		name     string
		cost     func(x float64) float64
		exponent float64
		residual float64 // at least
	}{
		{"constant", func(float64) float64 { return 7 }, 0, 0},
		{"linear", func(x float64) float64 { return 3 * x }, 1, 0},
		{"square", func(x float64) float64 { return x * x }, 2, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var points []capacity.Point
			for _, x := range []float64{10, 20, 40, 80, 160} {
				points = append(points, capacity.Point{X: x, Y: c.cost(x)})
			}
			fit := capacity.FitLine(points)
			g.Expect(fit.Exponent).To(gomega.BeNumerically("~", c.exponent, 1e-9))
			g.Expect(fit.Residual).To(gomega.BeNumerically(">=", c.residual))
		})
	}
}

func TestFitOfOneSizeIsConstantAndOfNoneIsZero(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(capacity.FitLine([]capacity.Point{{X: 4, Y: 9}}).At(1000)).To(gomega.Equal(9.0))
	g.Expect(capacity.FitLine(nil)).To(gomega.Equal(capacity.Fit{}))
}
