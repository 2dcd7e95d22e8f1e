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
	defaultLeaveAfter    = 3 * time.Second
	// defaultAnnounceWithin allows for a VM list that is started meanwhile.
	defaultAnnounceWithin = 30 * time.Second
)

// serverFlags describe one stand-in server.
type serverFlags struct {
	id, service, zone, region string
	address, admin, vms       string
	unkeyed, unfenced         bool
	concurrency, connections  int
	serviceTime, leaveAfter   time.Duration
	announceWithin            time.Duration
}

func newServerCommand() cli.Command {
	flags := serverFlags{
		address: defaultServerAddress, concurrency: defaultConcurrency, connections: defaultConnections,
		serviceTime: defaultServiceTime, leaveAfter: defaultLeaveAfter, announceWithin: defaultAnnounceWithin,
	}
	return cli.Command{
		Name:        "standin server",
		Description: "Run a stand-in backend server; SIGTERM drains it, tells the VM list, and stops it.",
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
	sub.String(&f.admin, "", "admin-listen", "host:port at which it is told to misbehave and gives its history")
	sub.String(&f.vms, "", "vms", "URL of the stand-in VM list to put itself on, such as http://127.0.0.1:7200")
	sub.Bool(&f.unkeyed, "", "unkeyed", "own no shards: take any request of the service")
	sub.Bool(&f.unfenced, "", "unfenced", "do not check fencing tokens")
	sub.Int(&f.concurrency, "", "concurrency", "most requests at once")
	sub.Int(&f.connections, "", "connections", "most connections")
	sub.Duration(&f.serviceTime, "", "service-time", "mean time that one request takes")
	sub.Duration(&f.announceWithin, "", "announce-within", "how long to try to get on the VM list")
	sub.Duration(&f.leaveAfter, "", "leave-after", "how long it goes on serving after SIGTERM, while its shards move away")
}

func (f *serverFlags) check() error {
	if f.id == "" || f.service == "" || f.zone == "" {
		return &cli.UsageError{Problem: "standin server: --id, --service and --zone are needed"}
	}
	if f.concurrency < 0 || f.connections < 0 || f.serviceTime < 0 || f.leaveAfter < 0 || f.announceWithin < 0 {
		return &cli.UsageError{Problem: "standin server: limits and times must not be negative"}
	}
	return nil
}

func (f *serverFlags) run(ctx context.Context, env *cli.Env) error {
	if err := f.check(); err != nil {
		return err
	}
	ctx, cancel := untilSignal(ctx)
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
	row := listRow{vms: f.vms, logger: logger, vm: f.vm(address)}
	// One that is stopped meanwhile may be on the list all the same, and leaves it.
	if err := row.announce(ctx, f.announceWithin); err != nil && ctx.Err() == nil {
		s.Kill()
		return err
	}
	<-ctx.Done()
	return f.leave(s, row)
}

// newServer returns the server and, if an address for it is given, serves its
// administration and keeps its history.
func (f *serverFlags) newServer(ctx context.Context, logger hclog.Logger) (*server.Server, error) {
	config := f.config(logger)
	if f.admin == "" {
		return server.New(config), nil
	}
	recorded := &history.Memory{}
	config.Recorder = recorded
	config.Clock = history.WallClock() // shared with the other processes that record
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

// leave drains the server while the list shows it as leaving, and stops it.
func (f *serverFlags) leave(s *server.Server, row listRow) error {
	s.Drain(true)
	row.phase(phaseLeaving)
	time.Sleep(f.leaveAfter)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.Stop(ctx)
	row.phase(phaseGone)
	return err
}
