package capacity

import (
	"context"
	"fmt"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/settings"
)

const (
	inputNodes = "nodes"
	// Names of the series by the role of the nodes in a sweep.
	seriesReads  = "log reads by nodes that read it"
	seriesFollow = "bytes of following the log by nodes that follow"
)

// siteSweep holds the shapes of a sweep over one input.
type siteSweep struct {
	input  string
	shapes []shape
	size   func(shape) int
}

func siteSweeps(quick bool) []siteSweep {
	nodes := siteSweep{input: inputNodes, size: func(s shape) int { return s.nodes }}
	servers := siteSweep{input: "servers", size: func(s shape) int { return s.servers }}
	shards := siteSweep{input: "shards", size: func(s shape) int { return s.shards }}
	groups := siteSweep{input: "groups", size: func(s shape) int { return s.groups * zones }}
	nodeSizes, serverSizes := []int{5, 10, 20, 30, 40}, []int{10, 20, 40, 80}
	shardSizes, groupSizes := []int{640, 2560, 10240, 40960}, []int{1, 2, 4}
	if quick {
		nodeSizes, serverSizes, shardSizes, groupSizes = []int{5, 20}, []int{10, 20}, []int{640, 1280}, []int{1, 2}
	}
	for _, n := range nodeSizes {
		nodes.shapes = append(nodes.shapes, shape{nodes: n, servers: 20, shards: 1280, groups: 1})
	}
	for _, n := range serverSizes {
		servers.shapes = append(servers.shapes, shape{nodes: 10, servers: n, shards: 1280, groups: 1})
	}
	for _, n := range shardSizes {
		shards.shapes = append(shards.shapes, shape{nodes: 10, servers: 20, shards: n, groups: 1})
	}
	for _, n := range groupSizes {
		groups.shapes = append(groups.shapes, shape{nodes: 20, servers: 40, shards: 1280, groups: n})
	}
	return []siteSweep{nodes, servers, shards, groups}
}

// siteFigure is one figure of an idle site.
type siteFigure struct {
	name, unit string
	value      func(usage) float64
}

// siteFigures lists the figures that a sweep measures, each for a whole site.
var siteFigures = []siteFigure{
	{"processor of an idle site", "cores", func(u usage) float64 { return u.processor }},
	{"bytes of following the log", "bytes/s", func(u usage) float64 { return u.followBytes }},
	{"bytes between nodes", "bytes/s", func(u usage) float64 { return u.peerBytes }},
	{"bytes between nodes and servers", "bytes/s", func(u usage) float64 { return u.serverBytes }},
	{"bytes appended to and read from the log", "bytes/s", func(u usage) float64 { return u.logBytes }},
	{"log reads", "reads/s", func(u usage) float64 { return u.logReads }},
}

func siteSeries(ctx context.Context, quick bool, progress func(string)) ([]Series, error) {
	var all []Series
	for _, sweep := range siteSweeps(quick) {
		spent := make([]usage, len(sweep.shapes))
		for i, s := range sweep.shapes {
			progress(fmt.Sprintf("site of %d nodes, %d servers, %d shards, %d groups", s.nodes, s.servers, s.shards, zones*s.groups))
			var err error
			if spent[i], err = measureSite(ctx, s); err != nil {
				return nil, err
			}
		}
		for _, figure := range siteFigures {
			all = append(all, sweep.series(figure, spent))
		}
		if sweep.input == inputNodes {
			all = append(all, relaySeries(sweep, spent)...)
		}
	}
	return all, nil
}

// series returns the series of one figure of a sweep.
func (s siteSweep) series(figure siteFigure, spent []usage) Series {
	points := make([]Point, len(spent))
	for i, u := range spent {
		points[i] = Point{X: float64(s.size(s.shapes[i])), Y: figure.value(u)}
	}
	return newSeries(figure.name+" by "+s.input, s.input, figure.unit, points)
}

// relaySeries returns the reads of the log by the number of nodes that read it, and
// the bytes of following by the number of nodes that follow a relay.
func relaySeries(sweep siteSweep, spent []usage) []Series {
	var reads, bytes []Point
	for i, u := range spent {
		nodes := sweep.shapes[i].nodes
		readers := readersOf(nodes, zones)
		reads = append(reads, Point{X: float64(readers), Y: u.logReads})
		if nodes > readers {
			bytes = append(bytes, Point{X: float64(nodes - readers), Y: u.followBytes})
		}
	}
	return []Series{
		newSeries(seriesReads, "nodes that read the log", "reads/s", reads),
		newSeries(seriesFollow, "nodes that follow relays", "bytes/s", bytes),
	}
}

// readersOf returns the number of nodes that read the log in a site with zones of
// equal size.
func readersOf(nodes, zones int) int {
	return zones * follower.RelayCount(nodes/zones, settings.DefaultLogRelays)
}
