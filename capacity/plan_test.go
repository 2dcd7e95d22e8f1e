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
	g.Expect(what).To(gomega.BeEmpty(), "prediction not found")
	return capacity.Prediction{}
}

const memory = "memory of the state on every node"

func TestPredictionOutsideItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	inside := named(g, capacity.Predict(capacity.DesignSize(), fixed(map[string]float64{"state memory": 64 << 20})), memory)
	outside := named(g, capacity.Predict(capacity.DesignSize(), fixed(map[string]float64{"state memory": 256 << 20})), memory)

	g.Expect(inside.WithinLimit()).To(gomega.BeTrue())
	g.Expect(inside.Margin()).To(gomega.Equal(2.0))
	g.Expect(outside.WithinLimit()).To(gomega.BeFalse())
}

func TestAMissingSeriesExceedsEveryLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	p := named(g, capacity.Predict(capacity.DesignSize(), capacity.Measurement{}), memory)
	g.Expect(p.WithinLimit()).To(gomega.BeFalse())
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
		slope("bytes of following the log by nodes that follow", 1600),
	}}
	p := named(g, capacity.Predict(size, m), "control bytes of a node")
	const following = 1600.0 / 2 // counted at both ends
	want := following + 100 + 10*float64(size.Groups)/float64(size.Nodes) + float64(size.Servers)/float64(size.Nodes)
	g.Expect(p.Predicted).To(gomega.BeNumerically("~", want, 1e-9))
	g.Expect(p.Range).To(gomega.Equal(float64(size.Nodes) / 40))
}

// TestRelaysAtTheDesignSize checks the load of relays at the design size, where one
// node in 16 reads the log and serves its records to the nodes that follow it.
func TestRelaysAtTheDesignSize(t *testing.T) {
	g := gomega.NewWithT(t)
	constant := fixed(map[string]float64{"log reads by nodes that read it": 0})
	constant.Series[0].Fit = capacity.Fit{Slope: 5, Largest: 15}
	reads := named(g, capacity.Predict(capacity.DesignSize(), constant), "log reads of the site, relays reading")
	g.Expect(reads.Predicted).To(gomega.Equal(45 * 5.0))
	g.Expect(reads.Range).To(gomega.Equal(3.0))

	m := capacity.Measurement{Series: []capacity.Series{
		{Name: "bytes of following the log by nodes that follow", Fit: capacity.Fit{Slope: 1600, Largest: 25}},
		{Name: "bytes between nodes by nodes"}, {Name: "bytes between nodes by groups"},
		{Name: "bytes between nodes by servers"}, {Name: "bytes between nodes and servers by servers"},
	}}
	relay := named(g, capacity.Predict(capacity.DesignSize(), m), "control bytes of a relay")
	g.Expect(relay.Predicted).To(gomega.BeNumerically("~", 800*(660.0/45-1), 1e-9))
}
