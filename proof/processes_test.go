package proof_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/demo"
	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/standin/server"
)

const (
	processLimit = 2 * time.Minute // for a site of processes to start, on a busy machine
	pausedFor    = 3 * time.Second // well beyond a lease
	exampleToken = "example-token-for-trials-only"
	pollInterval = 100 * time.Millisecond
)

// entryNodes lists the entry nodes of examples/site by zone.
var entryNodes = [][]string{{"entry-a1", "entry-a2"}, {"entry-b1", "entry-b2"}, {"entry-c1", "entry-c2"}}

// processSite is a site whose components are separate processes.
type processSite struct {
	*processes
	running map[string]*exec.Cmd
	admins  []string // addresses of the servers' administration
	callers *demo.Callers
	memory  *history.Memory
}

// startProcessSite starts the log, the VM list, two servers for each service
// in each zone, and six entry nodes, and waits until they serve.
func startProcessSite(t *testing.T, binary string) (context.Context, *processSite) {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	ctx, cancel := context.WithTimeout(context.Background(), processLimit)
	t.Cleanup(cancel)
	site := &processSite{
		processes: &processes{t: t, folder: t.TempDir(), ports: map[string]string{}},
		running:   map[string]*exec.Cmd{},
		memory:    &history.Memory{},
	}
	site.prepare(binary)
	config := smallSite().Text
	gomega.NewWithT(t).Expect(os.WriteFile(filepath.Join(site.folder, "site.jsonc"), config, 0o600)).To(gomega.Succeed())
	site.startPlatform()
	site.startServers()
	site.startNodes()
	parsed, _ := siteconfig.Parse(config, "site.jsonc")
	site.callers = &demo.Callers{Frontends: site.fronts(), Site: parsed, Recorder: site.memory, Clock: history.WallClock()}
	site.publish(ctx)
	site.waitServing(ctx)
	return ctx, site
}

// launch starts the binary in the site's folder and kills it when the test ends.
func (p *processSite) launch(name string, arguments ...string) {
	g := gomega.NewWithT(p.t)
	logFile, err := os.Create(filepath.Join(p.folder, name+".log"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	command := exec.Command("bin/burdockspindle", arguments...)
	command.Dir = p.folder
	command.Stdout, command.Stderr = logFile, logFile
	g.Expect(command.Start()).To(gomega.Succeed())
	p.running[name] = command
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = logFile.Close()
	})
}

func (p *processSite) signal(name string, signal syscall.Signal) {
	gomega.NewWithT(p.t).Expect(p.running[name].Process.Signal(signal)).To(gomega.Succeed())
}

func (p *processSite) startPlatform() {
	p.launch("log", "standin", "log", "--listen", "127.0.0.1:"+p.port("7100"))
	p.launch("vms", "standin", "vms", "--listen", "127.0.0.1:"+p.port("7200"))
	for _, fixed := range []string{"7100", "7200"} {
		p.waitListening(p.ports[fixed])
	}
}

func (p *processSite) waitListening(port string) {
	gomega.NewWithT(p.t).Eventually(func() error {
		conn, err := net.Dial("tcp", "127.0.0.1:"+port)
		if err != nil {
			return err
		}
		return conn.Close()
	}).WithTimeout(processLimit).WithPolling(pollInterval).Should(gomega.Succeed())
}

func (p *processSite) startServers() {
	for _, service := range []string{"well-logs", "licensing"} {
		for i := range serversPerService {
			id := fmt.Sprintf("%s-%d", service, i)
			zone := string("abc"[i%len(entryNodes)])
			admin := "127.0.0.1:" + p.port("admin of "+id)
			p.admins = append(p.admins, admin)
			p.launch(id, "standin", "server", "--id", id, "--service", service, "--zone", zone, "--region", "north",
				"--service-time", "2ms", "--admin-listen", admin, "--vms", "http://127.0.0.1:"+p.ports["7200"])
		}
	}
}

func (p *processSite) startNodes() {
	for _, zone := range entryNodes {
		for _, name := range zone {
			p.launch(name, "run", "--settings", filepath.Join(siteFolder, name+".jsonc"))
		}
	}
}

// fronts reads the nodes' addresses for callers from their settings.
func (p *processSite) fronts() [][]string {
	fronts := make([][]string, len(entryNodes))
	for zone, names := range entryNodes {
		for _, name := range names {
			s, err := settings.Load(filepath.Join(p.folder, siteFolder, name+".jsonc"))
			gomega.NewWithT(p.t).Expect(err).NotTo(gomega.HaveOccurred())
			fronts[zone] = append(fronts[zone], s.Frontend.Address)
		}
	}
	return fronts
}

func (p *processSite) publish(ctx context.Context) {
	gomega.NewWithT(p.t).Eventually(func() error {
		command := exec.CommandContext(ctx, "bin/burdockspindle", "publish", "--base", "0",
			"--admin", "http://127.0.0.1:"+p.port("7501"), "--token", exampleToken, "site.jsonc")
		command.Dir = p.folder
		return command.Run()
	}).WithContext(ctx).WithTimeout(processLimit).WithPolling(pollInterval).Should(gomega.Succeed())
}

// waitServing waits until each entry node answers requests to some keys.
func (p *processSite) waitServing(ctx context.Context) {
	for _, zone := range p.callers.Frontends {
		for _, address := range zone {
			for _, key := range p.callers.Keys()[:4] {
				p.waitAnswered(ctx, address, key)
			}
		}
	}
}

func (p *processSite) waitAnswered(ctx context.Context, address string, key demo.OwnedKey) {
	path := callerapi.KeyedPath(key.Service, key.Key, "records/"+key.Key)
	gomega.NewWithT(p.t).Eventually(func(g gomega.Gomega) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		g.Expect(response.Header.Get(callerapi.HeaderOutcome)).To(gomega.Equal(string(serverapi.OutcomeAnswered)))
	}).WithContext(ctx).WithTimeout(processLimit).WithPolling(pollInterval).Should(gomega.Succeed())
}

// collect merges the events recorded by the callers with the histories of the servers.
func (p *processSite) collect(ctx context.Context) []history.Event {
	g := gomega.NewWithT(p.t)
	events := p.memory.Events()
	for _, admin := range p.admins {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+server.AdminHistory, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		recorded, err := history.Decode(response.Body)
		_ = response.Body.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		events = append(events, recorded...)
	}
	history.SortEvents(events)
	return events
}

// processCases are faults of processes under load. No server is killed, because each
// must still return its history.
var processCases = []struct {
	name   string
	faults func(ctx context.Context, p *processSite)
	// graceful requires that no request has an unknown outcome.
	graceful bool
}{
	{name: "entry node paused past its leases and back", faults: func(ctx context.Context, p *processSite) {
		p.pauseProcess(ctx, "entry-a1")
		p.pauseProcess(ctx, "entry-a2")
	}},
	{name: "both entry nodes of a zone paused and back", faults: func(ctx context.Context, p *processSite) {
		p.signal("entry-b1", syscall.SIGSTOP)
		p.pauseProcess(ctx, "entry-b2")
		p.signal("entry-b1", syscall.SIGCONT)
	}},
	{name: "entry node killed", faults: func(_ context.Context, p *processSite) {
		p.signal("entry-a1", syscall.SIGKILL)
	}},
	{name: "servers paused past their lease and back", faults: func(ctx context.Context, p *processSite) {
		p.pauseProcess(ctx, "well-logs-0")
		p.pauseProcess(ctx, "licensing-1")
	}},
	{name: "log paused and back", faults: func(ctx context.Context, p *processSite) {
		p.pauseProcess(ctx, "log")
	}},
	{name: "everything but one zone paused and back", faults: func(ctx context.Context, p *processSite) {
		for _, name := range []string{"entry-b1", "entry-b2", "entry-c1", "entry-c2", "well-logs-1", "well-logs-2", "log"} {
			p.signal(name, syscall.SIGSTOP)
		}
		pause(ctx, pausedFor)
		for _, name := range []string{"log", "well-logs-1", "well-logs-2", "entry-b1", "entry-b2", "entry-c1", "entry-c2"} {
			p.signal(name, syscall.SIGCONT)
		}
	}},
	{name: "entry node terminated", graceful: true, faults: func(_ context.Context, p *processSite) {
		p.signal("entry-a1", syscall.SIGTERM)
		gomega.NewWithT(p.t).Expect(p.running["entry-a1"].Wait()).To(gomega.Succeed())
	}},
}

func (p *processSite) pauseProcess(ctx context.Context, name string) {
	p.signal(name, syscall.SIGSTOP)
	pause(ctx, pausedFor)
	p.signal(name, syscall.SIGCONT)
}

func TestProcessesUnderFaults(t *testing.T) {
	binary := buildBinary(t)
	for _, row := range processCases {
		t.Run(row.name, func(t *testing.T) {
			ctx, site := startProcessSite(t, binary)
			load := demo.Load{Requests: requests, Seed: seed, Span: loadSpan, Probed: site.callers.Keys()[:8]}
			settled, err := site.callers.Exercise(ctx, load, func(ctx context.Context) {
				pause(ctx, settle)
				row.faults(ctx, site)
			})
			g := gomega.NewWithT(t)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(settled).To(gomega.BeTrue(), "probed keys were not served again")
			events := site.collect(ctx)
			summary, found := site.callers.Evaluate(events)
			t.Logf("%+v", summary)
			for _, violation := range found {
				t.Errorf("seed %d: %s", seed, violation)
			}
			g.Expect(summary.Answered).To(gomega.BeNumerically(">", 0))
			g.Expect(histcheck.LinearizableOwnership(events, searchLimit)).To(gomega.Equal(histcheck.Linearizable))
			if row.graceful {
				g.Expect(summary.Unknown).To(gomega.BeZero())
			}
		})
	}
}
