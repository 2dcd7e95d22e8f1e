package command

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Defaults of a stand-in backend server.
const (
	defaultServerAddress = "127.0.0.1:0"
	defaultConcurrency   = 4
	defaultConnections   = 100
	defaultServiceTime   = 5 * time.Millisecond
	defaultShape         = 0.3
	defaultDrainPeriod   = 3 * time.Second
	// defaultAnnounceTimeout allows for a VM list that is started at the same time.
	defaultAnnounceTimeout = 30 * time.Second
)

// serverFlags holds the flags of "standin server".
type serverFlags struct {
	id, service, zone, region string
	address, admin, vms       string
	unkeyed, unfenced         bool
	concurrency, connections  int
	serviceTime, drainPeriod  time.Duration
	announceTimeout           time.Duration
}

func newServerCommand() cli.Command {
	flags := serverFlags{
		address: defaultServerAddress, concurrency: defaultConcurrency, connections: defaultConnections,
		serviceTime: defaultServiceTime, drainPeriod: defaultDrainPeriod, announceTimeout: defaultAnnounceTimeout,
	}
	return cli.Command{
		Name:        "standin server",
		Description: "Run a stand-in backend server; SIGTERM drains it, updates the VM list, and stops it.",
		Flags:       flags.declare,
		Run:         flags.run,
	}
}

func (f *serverFlags) declare(sub *flaggy.Subcommand) {
	sub.String(&f.id, "", "id", "the server's ID")
	sub.String(&f.service, "", "service", "the service that it serves")
	sub.String(&f.zone, "z", "zone", "its availability zone")
	sub.String(&f.region, "", "region", "its region")
	sub.String(&f.address, "l", "listen", "IP:port; port 0 lets the system choose")
	sub.String(&f.admin, "", "admin-listen", "host:port of its administration, which injects faults and returns its history")
	sub.String(&f.vms, "", "vms", "URL of the stand-in VM list to add itself to, such as http://127.0.0.1:7200")
	sub.Bool(&f.unkeyed, "", "unkeyed", "own no shards: take any request of the service")
	sub.Bool(&f.unfenced, "", "unfenced", "do not check fencing tokens")
	sub.Int(&f.concurrency, "", "concurrency", "maximum number of concurrent requests; 0 for no limit")
	sub.Int(&f.connections, "", "connections", "maximum number of open connections; 0 for no limit")
	sub.Duration(&f.serviceTime, "", "service-time", "mean service time of a request")
	sub.Duration(&f.announceTimeout, "", "announce-within", "how long to retry adding itself to the VM list")
	sub.Duration(&f.drainPeriod, "", "leave-after", "how long it continues to serve after SIGTERM, while its shards are handed over")
}

func (f *serverFlags) check() error {
	if f.id == "" || f.service == "" || f.zone == "" {
		return &cli.UsageError{Problem: "standin server: --id, --service and --zone are required"}
	}
	if f.concurrency < 0 || f.connections < 0 || f.serviceTime < 0 || f.drainPeriod < 0 || f.announceTimeout < 0 {
		return &cli.UsageError{Problem: "standin server: limits and times must not be negative"}
	}
	return nil
}

func (f *serverFlags) run(ctx context.Context, env *cli.Env) error {
	if err := f.check(); err != nil {
		return err
	}
	ctx, cancel := signalContext(ctx)
	defer cancel()
	logger := newLogger(env, f.id)
	s, err := f.newServer(ctx, logger)
	if err != nil {
		return err
	}
	address, err := s.Listen(f.address)
	if err != nil {
		return err
	}
	row := listRow{listURL: f.vms, logger: logger, vm: f.vm(address)}
	// A server that is stopped during the announcement may be on the list although the
	// call failed, so it leaves the list too.
	if err := row.announce(ctx, f.announceTimeout); err != nil && ctx.Err() == nil {
		s.Kill()
		return err
	}
	<-ctx.Done()
	return f.shutDown(s, row)
}

// newServer returns the server. If an administration address is given, it also
// serves the administration there and keeps the server's history in memory.
func (f *serverFlags) newServer(ctx context.Context, logger hclog.Logger) (*server.Server, error) {
	config := f.config(logger)
	if f.admin == "" {
		return server.New(config), nil
	}
	recorded := &history.Memory{}
	config.Recorder = recorded
	config.Clock = history.WallClock() // shared with the other processes that record history
	s := server.New(config)
	listener, err := listen(f.admin)
	if err != nil {
		return nil, err
	}
	go func() { _ = serveHTTP(ctx, listener, s.AdminHandler(recorded)) }()
	return s, nil
}

func (f *serverFlags) config(logger hclog.Logger) server.Config {
	return server.Config{
		ID:            topo.ServerID(f.id),
		Service:       topo.Service(f.service),
		Keyed:         !f.unkeyed,
		ChecksFencing: !f.unfenced,
		Concurrency:   f.concurrency,
		Connections:   f.connections,
		ServiceTime:   server.ServiceTime{Mean: f.serviceTime, Shape: defaultShape},
		Logger:        logger,
	}
}

// shutDown drains the server for drainPeriod while the list shows it as leaving, and
// then stops it.
func (f *serverFlags) shutDown(s *server.Server, row listRow) error {
	s.Drain(true)
	row.setPhase(phaseLeaving)
	time.Sleep(f.drainPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.Stop(ctx)
	row.setPhase(phaseGone)
	return err
}
