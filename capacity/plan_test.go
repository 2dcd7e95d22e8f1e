package capacity_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/capacity"
)

// fixed returns a measurement in which each named series is constant.
func fixed(values map[string]float64) capacity.Measurement {
	var m capacity.Measurement
	for name, y := range values {
		m.Series = append(m.Series, capacity.Series{Name: name, Fit: capacity.Fit{Base: y, Largest: 1e9}})
	}
	return m
}

func named(g *gomega.WithT, all []capacity.Prediction, what string) capacity.Prediction {
	for _, p := range all {
		if p.What == what {
			return p
		}
	}
	g.Expect(what).To(gomega.BeEmpty(), "no such prediction")
	return capacity.Prediction{}
}

const memory = "memory of the state on every node"

func TestAPredictionOutsideItsLimitDoesNotHold(t *testing.T) {
	g := gomega.NewWithT(t)
	inside := named(g, capacity.Predict(capacity.DesignSize(), fixed(map[string]float64{"state memory": 64 << 20})), memory)
	outside := named(g, capacity.Predict(capacity.DesignSize(), fixed(map[string]float64{"state memory": 256 << 20})), memory)

	g.Expect(inside.Holds()).To(gomega.BeTrue())
	g.Expect(inside.Margin()).To(gomega.Equal(2.0))
	g.Expect(outside.Holds()).To(gomega.BeFalse())
}

func TestASeriesThatIsMissingHoldsNoLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	p := named(g, capacity.Predict(capacity.DesignSize(), capacity.Measurement{}), memory)
	g.Expect(p.Holds()).To(gomega.BeFalse())
}

func TestSlopesOfASiteAddUpForOneNode(t *testing.T) {
	g := gomega.NewWithT(t)
	size := capacity.DesignSize()
	slope := func(name string, y float64) capacity.Series {
		return capacity.Series{Name: name, Fit: capacity.Fit{Slope: y, Largest: 40}}
	}
	m := capacity.Measurement{Series: []capacity.Series{
		slope("bytes between nodes by nodes", 100),
		slope("bytes between nodes by groups", 10),
		slope("bytes between nodes by servers", -5), // noise
		slope("bytes between nodes and servers by servers", 1),
	}}
	p := named(g, capacity.Predict(size, m), "control bytes of a node")
	want := 100 + 10*float64(size.Groups)/float64(size.Nodes) + float64(size.Servers)/float64(size.Nodes)
	g.Expect(p.Predicted).To(gomega.BeNumerically("~", want, 1e-9))
	g.Expect(p.Range).To(gomega.Equal(float64(size.Nodes) / 40))
}
