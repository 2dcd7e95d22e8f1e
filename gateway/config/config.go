// Package config reads the settings of a gateway node: JSON with comments,
// validated as a whole before anything starts.
package config

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Settings are the settings of a gateway node, as read from its settings file.
type Settings struct {
	Node      string
	Zone      string
	Region    string
	Regions   map[string]string // the region of each zone of the site
	Listen    Listen
	Seeds     []string // peer addresses of nodes to get the site's state from at start
	Driver    settings.Driver
	Retries   Retries
	Timing    Timing
	Placement Placement
	// Resources are the resources that the VM provides to the process.
	Resources Resources
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes; 0: the
	// limit is unknown.
	MemoryMB int64
	LogLevel string
}

// Listen holds the addresses of the listeners, IP:port.
type Listen struct {
	Front   string // requests of callers
	Ready   string // readiness checks of the load balancer
	Peer    string // calls of other nodes
	Metrics string // empty: no listener
}

// Retries bound the retries that all nodes together send to a service.
type Retries struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window
	Window time.Duration // the bounds hold for any span of this length
}

// Timing holds the time limits that the site sets for a node.
type Timing struct {
	Grace time.Duration // from SIGTERM to the termination of the process
	// Notice is how long new connections may still arrive after the node has
	// reported that it is not ready.
	Notice  time.Duration
	HoldMax time.Duration // longest hold of a range
	// Evacuate is how long after an acknowledged evacuation requests may still reach the
	// servers of the zone.
	Evacuate time.Duration
	// Drain is how long requests for the keys of a server may still be sent to it after it has said
	// that it leaves.
	Drain time.Duration
}

// Placement holds the weights for the choice of a server.
type Placement struct {
	// CrossZonePenalty is added to the expected time of a request at a server of
	// another zone.
	CrossZonePenalty time.Duration
	// LearnSpeeds is when the speeds of servers are learned and used.
	LearnSpeeds SpeedLearning
}

// SpeedLearning is when the speeds of servers are learned and used.
type SpeedLearning string

// The choices of SpeedLearning.
const (
	LearnSpeedsAuto SpeedLearning = "auto" // while a service of the site is mixed
	LearnSpeedsOn   SpeedLearning = "on"
	LearnSpeedsOff  SpeedLearning = "off"
)

// Resources are the resources that a VM provides to the process. Duties that one node
// performs for others are assigned to nodes of high capacity.
type Resources struct {
	Processor float64 // CPU in cores: share of a core times the number of cores
	LinkMbps  float64 // of the VM's own link, in Mbit/s; 0: unknown
	// Descriptors is how many files and sockets the process may open; 0: as many as the operating system allows.
	Descriptors int64
}

// fullCapacityLinkMbps is the link, in Mbit/s, at and above which the network does not limit
// the duties for other nodes. It is twice what they send for seconds at a time on a site of
// hundreds of servers.
const fullCapacityLinkMbps = 100

// Capacity returns the capacity of the node for duties for other nodes, in CPU cores. A link below
// fullCapacityLinkMbps reduces it in proportion.
func (r Resources) Capacity() float64 {
	if r.LinkMbps <= 0 {
		return r.Processor
	}
	return r.Processor * min(1, r.LinkMbps/fullCapacityLinkMbps)
}

// Defaults of the optional settings.
const (
	defaultRatio    = 0.2
	defaultSlack    = 50
	defaultWindow   = 10 * time.Second
	defaultGrace    = 6 * time.Second
	defaultHoldMax  = 10 * time.Second
	defaultEvacuate = 5 * time.Second
	defaultDrain    = 2 * time.Second
	// defaultNotice suits a load balancer that checks once a second and acts on the
	// second consecutive failure.
	defaultNotice = 2500 * time.Millisecond
	// defaultCrossZonePenalty makes nodes prefer their own zone among servers of about
	// equal load. It is a fifth of a service time of 150 ms.
	defaultCrossZonePenalty = 30 * time.Millisecond
	maxDuration             = time.Hour
	maxSlack                = 1e6
	maxMemoryMB             = 1 << 30
	maxCores                = 4096
	maxLinkMbps             = 1e6
	maxDescriptors          = 1 << 30
)

// memoryLimitShare is the part of the configured memory that the Go runtime may use. The rest is for memory that the
// kernel holds for the process.
const memoryLimitShare = 0.7

// MemoryLimit returns the bytes that the Go runtime may use; 0: the memory of the process is unknown.
func (s *Settings) MemoryLimit() int64 { return int64(memoryLimitShare * float64(s.MemoryMB<<20)) }

// Load reads and validates a settings file. The error is a *settings.FileError or a
// *jsonc.InvalidError with all problems.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &settings.FileError{File: file, Cause: err}
	}
	s, problems := Parse(text, file)
	if err := jsonc.ErrorOf(problems); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse parses and validates settings. file is the name used in problems.
func Parse(text []byte, file string) (*Settings, []jsonc.Problem) {
	root, report := jsonc.Parse(text, file)
	s := &Settings{
		Node:      root.Required("node").Text(),
		Zone:      root.Required("zone").Text(),
		Region:    root.Get("region").String(""),
		Regions:   readRegions(root.Get("regions").Object()),
		Listen:    readListen(root.Required("listen").Object()),
		Driver:    readDriver(root.Required("driver").Object()),
		Retries:   readRetries(root.Get("retries").Object()),
		Timing:    readTiming(root.Get("timing").Object()),
		Placement: readPlacement(root.Get("placement").Object()),
		Resources: readResources(root.Get("resources").Object()),
		MemoryMB:  root.Get("memoryMB").Int(0, 0, maxMemoryMB),
		LogLevel:  root.Get("logLevel").Choice("info", "trace", "debug", "info", "warn", "error"),
	}
	for _, element := range root.Get("seeds").Elements() {
		s.Seeds = append(s.Seeds, readAddress(element))
	}
	root.Close()
	return s, report.Problems()
}

func readListen(o *jsonc.Object) Listen {
	listen := Listen{
		Front: readAddress(o.Required("front")),
		Ready: readAddress(o.Required("ready")),
		Peer:  readAddress(o.Required("peer")),
	}
	if metrics := o.Get("metrics"); metrics.Present() {
		listen.Metrics = readAddress(metrics)
	}
	o.Close()
	return listen
}

func readRegions(o *jsonc.Object) map[string]string {
	regions := map[string]string{}
	for _, zone := range o.Names() {
		regions[zone] = o.Get(zone).Text()
	}
	o.Close()
	return regions
}

func readAddress(value *jsonc.Value) string {
	text := value.Text()
	if _, err := netip.ParseAddrPort(text); err != nil && text != "" {
		value.Problem(`must be IP:port such as "10.0.0.7:8443", not ` + strconv.Quote(text))
	}
	return text
}

func readDriver(o *jsonc.Object) settings.Driver {
	driver := settings.Driver{Name: o.Required("name").Text(), Options: settings.ReadOptions(o.Get("options"))}
	o.Close()
	return driver
}

func readRetries(o *jsonc.Object) Retries {
	retries := Retries{
		Ratio:  o.Get("ratio").Float(defaultRatio, 0, 1),
		Slack:  o.Get("slack").Float(defaultSlack, 0, maxSlack),
		Window: readDuration(o.Get("window"), defaultWindow),
	}
	o.Close()
	return retries
}

func readTiming(o *jsonc.Object) Timing {
	timing := Timing{
		Grace:    readDuration(o.Get("grace"), defaultGrace),
		Notice:   readDuration(o.Get("notice"), defaultNotice),
		HoldMax:  readDuration(o.Get("holdMax"), defaultHoldMax),
		Evacuate: readDuration(o.Get("evacuate"), defaultEvacuate),
		Drain:    readDuration(o.Get("drain"), defaultDrain),
	}
	o.Close()
	return timing
}

func readPlacement(o *jsonc.Object) Placement {
	placement := Placement{
		CrossZonePenalty: o.Get("crossZonePenalty").Duration(defaultCrossZonePenalty, 0, maxDuration),
		LearnSpeeds:      SpeedLearning(o.Get("learnSpeeds").Choice(string(LearnSpeedsAuto), string(LearnSpeedsAuto), string(LearnSpeedsOn), string(LearnSpeedsOff))),
	}
	o.Close()
	return placement
}

func readResources(o *jsonc.Object) Resources {
	share := o.Get("processorShare").Float(1, 0, 1)
	cores := o.Get("cores").Int(1, 1, maxCores)
	resources := Resources{
		Processor: share * float64(cores),
		LinkMbps:  o.Get("linkMbps").Float(0, 0, maxLinkMbps),

		Descriptors: o.Get("descriptors").Int(0, 0, maxDescriptors),
	}
	o.Close()
	return resources
}

func readDuration(value *jsonc.Value, fallback time.Duration) time.Duration {
	return value.Duration(fallback, time.Millisecond, maxDuration)
}
