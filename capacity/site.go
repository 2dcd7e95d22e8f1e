package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/logmem"
	"github.com/burdockspindle/burdockspindle/modules/vmsmem"
	"github.com/burdockspindle/burdockspindle/node"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// readLog is the kind of the calls by which nodes follow relays.
const readLog = string(peer.KindReadLog)

const (
	loopback    = "127.0.0.1:0"
	settleLimit = 3 * time.Minute
	settlePoll  = 50 * time.Millisecond
	// settleDelay is the delay between the settling of a site and its measurement.
	settleDelay = 2 * time.Second
	// measureWindow is the duration of the measurement of an idle site.
	measureWindow = 6 * time.Second
)

// liveSite is a small complete site in this process, without callers.
type liveSite struct {
	name    string
	nodes   []*node.Node
	servers []*server.Server
}

// usage is the resource usage of an idle site per second.
type usage struct {
	processor   float64 // cores, all nodes and the stand-ins together
	peerBytes   float64 // sent and received between nodes, without following the log
	followBytes float64 // sent and received between relays and the nodes that follow them
	serverBytes float64 // control bytes sent and received between nodes and servers
	logBytes    float64 // appended to and read from the log
	logReads    float64
}

// measureSite starts a site of a shape, waits until every shard is owned, and
// returns the usage of the site without callers.
func measureSite(ctx context.Context, s shape) (usage, error) {
	site := &liveSite{name: fmt.Sprintf("capacity-%d-%d-%d-%d", s.nodes, s.servers, s.shards, s.groups)}
	defer site.stop()
	if err := site.start(ctx, s); err != nil {
		return usage{}, err
	}
	if err := site.settle(ctx, s); err != nil {
		return usage{}, err
	}
	return site.measureIdle(ctx)
}

func (l *liveSite) start(ctx context.Context, s shape) error {
	platform := vmsmem.Named(l.name)
	for i := range s.servers {
		standin := server.New(server.Config{
			ID: topo.ServerID(serverID(i)), Service: serviceName, Keyed: true, ChecksFencing: true,
			Concurrency: 6, Connections: 130, Seed: uint64(i), Logger: hclog.NewNullLogger(),
		})
		address, err := standin.Listen(loopback)
		if err != nil {
			return &SiteError{Step: "start server", Cause: err}
		}
		l.servers = append(l.servers, standin)
		platform.Put(vmlist.VM{
			ID: serverID(i), Role: vmlist.RoleServer, Service: serviceName, Zone: topo.Zone(zoneOf(i)),
			Region: "local", Address: address, Phase: vmlist.PhaseLive,
		})
	}
	for i := range s.nodes {
		if err := l.startNode(ctx, i); err != nil {
			return err
		}
	}
	return l.publish(ctx, s)
}

func (l *liveSite) startNode(ctx context.Context, i int) error {
	started, err := node.New(l.settings(i), hclog.NewNullLogger())
	if err != nil {
		return &SiteError{Step: "provision node", Cause: err}
	}
	if err := started.Start(ctx); err != nil {
		return &SiteError{Step: "start node", Cause: err}
	}
	l.nodes = append(l.nodes, started)
	return nil
}

func (l *liveSite) settings(i int) *settings.Settings {
	shared := map[string]any{"name": l.name}
	return &settings.Settings{
		Node:     topo.NodeID(nodeID(i)),
		Zone:     topo.Zone(zoneOf(i)),
		Region:   "local",
		Frontend: settings.Listener{Address: loopback},
		Peer:     settings.Listener{Address: loopback},
		Log:      settings.Driver{Name: "memory", Options: shared},
		VMs:      settings.Driver{Name: "memory", Options: shared},
		Servers:  settings.Driver{Name: settings.DefaultServerDriver},
		Balance:  settings.Driver{Name: settings.DefaultBalance},
		Limits:   settings.DefaultLimits(),
		Timing:   settings.DefaultTiming(),
		LogLevel: settings.DefaultLogLevel,
	}
}

func (l *liveSite) publish(ctx context.Context, s shape) error {
	appender, err := kernel.Use[follower.Appender](l.nodes[0].Context())
	if err != nil {
		return &SiteError{Step: "publish", Cause: err}
	}
	outcome, err := appender.Submit(ctx, publish(s))
	if err != nil {
		return &SiteError{Step: "publish", Cause: err}
	}
	if !outcome.Accepted {
		return &RejectedError{Record: outcome.Conflict}
	}
	return nil
}

// settle waits until every shard is owned by a known incarnation of its owner.
func (l *liveSite) settle(ctx context.Context, s shape) error {
	source, err := kernel.Use[state.Source](l.nodes[0].Context())
	if err != nil {
		return &SiteError{Step: "settle", Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for owned(source.View()) < s.shards {
		if err := pause(ctx, settlePoll); err != nil {
			return &SiteError{Step: "settle", Cause: err}
		}
	}
	return pause(ctx, settleDelay)
}

func owned(view *state.View) int {
	count := 0
	view.EachShard(serviceName, func(a state.Assignment) bool {
		if a.OwnerBoot != "" {
			count++
		}
		return true
	})
	return count
}

func pause(ctx context.Context, d time.Duration) error {
	if !clock.Wait(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// measureIdle measures an idle site over measureWindow.
func (l *liveSite) measureIdle(ctx context.Context) (usage, error) {
	start := time.Now()
	processor := processorTime()
	before := readCounters()
	if err := pause(ctx, measureWindow); err != nil {
		return usage{}, &SiteError{Step: "measure", Cause: err}
	}
	spent := readCounters().minus(before)
	spent.processor = (processorTime() - processor).Seconds()
	return spent.perSecond(time.Since(start)), nil
}

func readCounters() usage {
	follow := counterOf("peer", "control_bytes_sent", readLog) + counterOf("peer", "control_bytes_received", readLog)
	return usage{
		peerBytes:   counter("peer", "control_bytes_sent") + counter("peer", "control_bytes_received") - follow,
		followBytes: follow,
		serverBytes: counter("servers", "control_bytes_sent") + counter("servers", "control_bytes_received"),
		logBytes:    counter("follower", "append_bytes") + counter("follower", "log_read_bytes"),
		logReads:    counter("follower", "log_reads"),
	}
}

func (u usage) minus(other usage) usage {
	return usage{
		peerBytes:   u.peerBytes - other.peerBytes,
		followBytes: u.followBytes - other.followBytes,
		serverBytes: u.serverBytes - other.serverBytes,
		logBytes:    u.logBytes - other.logBytes,
		logReads:    u.logReads - other.logReads,
	}
}

func (u usage) perSecond(elapsed time.Duration) usage {
	seconds := elapsed.Seconds()
	return usage{
		processor:   u.processor / seconds,
		peerBytes:   u.peerBytes / seconds,
		followBytes: u.followBytes / seconds,
		serverBytes: u.serverBytes / seconds,
		logBytes:    u.logBytes / seconds,
		logReads:    u.logReads / seconds,
	}
}

func (l *liveSite) stop() {
	for _, one := range l.nodes {
		_ = one.Kill()
	}
	for _, one := range l.servers {
		one.Kill()
	}
	logmem.Forget(l.name)
	vmsmem.Forget(l.name)
}
