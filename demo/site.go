package demo

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/modules/logmem"
	"github.com/burdockspindle/burdockspindle/modules/router"
	"github.com/burdockspindle/burdockspindle/modules/vmsmem"
	"github.com/burdockspindle/burdockspindle/node"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	serviceTime   = 2 * time.Millisecond
	serviceSpread = 0.5 // shape parameter of the log-normal service time
	stopTimeout   = 5 * time.Second
	publisher     = "demo"
)

// Site is a whole site in one process: the platform's stand-ins, the backend
// servers and the entry nodes, over loopback TCP.
type Site struct {
	Deployment string
	Platform   *vms.Platform
	// Log is the log shared by all nodes; its faults affect every node.
	Log     *logfault.Log
	Network *Network
	Servers []*SiteServer
	Nodes   []*SiteNode
	Memory  *history.Memory
	Clock   history.Clock

	deployment     *deployment
	name           string // of the shared log and the VM list
	listen         string // loopback address used only by this site, any port
	logger         hclog.Logger
	adjust         func(*settings.Settings) // applied to each node's settings; nil for none
	observeContext context.Context
	stop           context.CancelFunc
	observers      sync.WaitGroup
	stopped        sync.Once
}

// SiteServer is one backend server of a site.
type SiteServer struct {
	*server.Server
	ID      topo.ServerID
	Service topo.Service
	Zone    topo.Zone
	Address string
	// Lost is true after the server was killed.
	Lost bool
}

// SiteNode is one entry node of a site.
type SiteNode struct {
	*node.Node
	ID   topo.NodeID
	Zone int
	// Log is this node's view of the log; its faults affect only this node.
	Log *logfault.Log
	// Lost is true after the node was killed or stopped.
	Lost bool
}

// Frontend returns the address for callers.
func (n *SiteNode) Frontend() string { return n.Addresses()[kernel.RoleFrontend] }

// SiteOptions configure the site to start.
type SiteOptions struct {
	Deployment string
	// Text is the site configuration; by default that of the deployment.
	Text []byte
	// Servers is the number of servers of each service; by default the
	// deployment's number.
	Servers int
	Seed    uint64
	Logger  hclog.Logger // nil for none
	// Adjust changes the settings of each node before it starts; nil for the
	// defaults.
	Adjust func(*settings.Settings)
}

// StartSite starts the stand-ins, the servers and the nodes of a deployment,
// and publishes its site configuration. The caller must call Stop if a site is
// returned, even with an error.
func StartSite(ctx context.Context, options SiteOptions) (*Site, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	deployment, err := loadDeployment(options.Deployment, options.Text)
	if err != nil {
		return nil, err
	}
	deployment.resize(options.Servers)
	site := newSite(deployment, options.Logger)
	site.adjust = options.Adjust
	if err := site.startServers(options.Seed); err != nil {
		return site, err
	}
	if err := site.startNodes(ctx); err != nil {
		return site, err
	}
	return site, site.publish(ctx)
}

func newSite(d *deployment, logger hclog.Logger) *Site {
	began := time.Now()
	site := &Site{
		Deployment: d.name,
		Memory:     &history.Memory{},
		Clock:      history.ClockSince(began),
		Network:    newNetwork(),
		deployment: d,
		name:       fmt.Sprintf("%s-%d", d.name, began.UnixNano()),
		listen:     uniqueLoopback(),
		logger:     logger,
	}
	site.Platform = vmsmem.Named(site.name)
	site.Log = logfault.Wrap(memlog.New(memlog.Retention{}))
	site.observeContext, site.stop = context.WithCancel(context.Background())
	return site
}

// sites counts the sites started by this process.
var sites atomic.Uint32

// uniqueLoopback returns a loopback address that no other site uses, in this process or
// another one. Sites use the same server IDs, so a request to a lost server must not
// reach a server of another site that now uses the same port.
func uniqueLoopback() string {
	process, site := os.Getpid(), sites.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+process>>8&0x7f, process&0xff, 1+site%254)
}

// startServers distributes the servers of each service over the zones.
func (s *Site) startServers(seed uint64) error {
	for _, service := range sortedServices(s.deployment.site) {
		for i := range s.deployment.servers[service.Name] {
			seed++
			started, err := s.startServer(service, i, seed)
			if err != nil {
				return err
			}
			s.Servers = append(s.Servers, started)
		}
	}
	return nil
}

func (s *Site) startServer(service *siteconfig.Service, index int, seed uint64) (*SiteServer, error) {
	return s.startServerAt(s.listen, service, index, seed)
}

// startServerAt starts a server that listens on an address.
func (s *Site) startServerAt(listen string, service *siteconfig.Service, index int, seed uint64) (*SiteServer, error) {
	id := model.ServerID(service.Name, index)
	zone := s.deployment.zones[index%len(s.deployment.zones)]
	standin := server.New(server.Config{
		ID:            id,
		Service:       service.Name,
		Keyed:         service.Keyed,
		ChecksFencing: service.ChecksFencing,
		Concurrency:   service.ConcurrencyPerServer,
		Connections:   service.ConnectionsPerServer,
		ServiceTime:   server.ServiceTime{Mean: serviceTime, Shape: serviceSpread},
		Seed:          seed,
		Clock:         s.Clock,
		Recorder:      s.Memory,
		Logger:        s.logger,
	})
	address, err := standin.Listen(listen)
	if err != nil {
		return nil, &ServerError{Server: id, Cause: err}
	}
	s.Network.put(address, endpoint{zone: zone})
	s.Platform.Put(vmlist.VM{
		ID: string(id), Role: vmlist.RoleServer, Service: service.Name, Zone: zone,
		Region: region, Address: address, Phase: vmlist.PhaseLive,
	})
	return &SiteServer{Server: standin, ID: id, Service: service.Name, Zone: zone, Address: address}, nil
}

func (s *Site) startNodes(ctx context.Context) error {
	for zone := range s.deployment.zones {
		for i := range nodesPerZone {
			if err := s.StartNode(ctx, zone, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartNode starts the index-th entry node of a zone.
func (s *Site) StartNode(ctx context.Context, zone, index int) error {
	name := s.deployment.zones[zone]
	id := model.NodeID(name, index)
	own := logfault.Wrap(s.Log)
	logmem.Put(s.logName(id), own)
	at := endpoint{zone: name, node: id}
	dial := s.Network.dialFrom(at)
	started, err := node.NewWith(s.settingsOf(id, name), s.logger,
		node.WithService(peer.Dial(dial)), node.WithService(router.Dial(dial)), node.WithService(backend.Dial(dial)))
	if err != nil {
		return err
	}
	if err := started.Start(ctx); err != nil {
		return err
	}
	s.Network.put(started.Addresses()[kernel.RolePeer], at)
	s.Nodes = append(s.Nodes, &SiteNode{Node: started, ID: id, Zone: zone, Log: own})
	s.Platform.Put(vmlist.VM{
		ID: string(id), Role: vmlist.RoleEntry, Zone: name, Region: region, Phase: vmlist.PhaseLive,
	})
	return observe(s.observeContext, &s.observers, started.Context(), s.Memory, s.Clock)
}

// logName returns the name of one node's log in this process.
func (s *Site) logName(id topo.NodeID) string { return s.name + "/" + string(id) }

// publish publishes the deployment's site configuration.
func (s *Site) publish(ctx context.Context) error {
	appender, err := kernel.Use[follower.Appender](s.Nodes[0].Context())
	if err != nil {
		return err
	}
	began := s.Clock()
	outcome, err := appender.Submit(ctx, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Text:     s.deployment.text,
		Compiled: siteconfig.ToProto(s.deployment.site),
	}}})
	if err != nil {
		return err
	}
	if !outcome.Accepted {
		return &PublishError{Conflict: outcome.Conflict}
	}
	s.Memory.Record(history.SitePublished{
		Began: began, At: s.Clock(), Publisher: publisher, Accepted: true, Version: 1,
		Digest: server.DigestOf(s.deployment.text),
	})
	return nil
}

// Stop flushes the servers' histories and stops everything that still runs. Further
// calls do nothing.
func (s *Site) Stop() { s.stopped.Do(s.stopAll) }

func (s *Site) stopAll() {
	for _, one := range s.Servers {
		if !one.Lost {
			one.FlushHistory()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.stop()
	s.observers.Wait()
	var wait sync.WaitGroup
	for _, one := range s.Nodes {
		if !one.Lost {
			wait.Go(func() { _ = one.Kill() })
		}
	}
	for _, one := range s.Servers {
		if !one.Lost {
			wait.Go(func() { _ = one.Stop(ctx) })
		}
	}
	wait.Wait()
	for _, one := range s.Nodes {
		logmem.Forget(s.logName(one.ID))
	}
	vmsmem.Forget(s.name)
}
