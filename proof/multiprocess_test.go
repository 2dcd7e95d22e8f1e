package proof_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/build/docblocks"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	repository    = ".."
	siteFolder    = "examples/site"
	siteLimit     = 3 * time.Minute // for all commands of one documentation page, on a busy machine
	endOfCommands = "ALL COMMANDS RAN"
)

// loopbackPort matches the addresses in the documentation pages and settings.
var loopbackPort = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// loopPort matches the ports in the pages' shell loops, which have no host part.
var loopPort = regexp.MustCompile(`\b7[1-5]\d\d\b`)

// processes is the site started by the commands of one page.
type processes struct {
	t      *testing.T
	folder string            // a copy of what the commands need
	ports  map[string]string // free ports by the fixed ports of the pages
	script string
}

// TestSitesOfDocumentationPages runs the blocks of commands tagged "sh site" of each page
// in one shell, then sends a request through each zone.
func TestSitesOfDocumentationPages(t *testing.T) {
	if _, err := exec.LookPath("bash"); err != nil {
		t.Skip("no bash to run the pages' commands")
	}
	binary := buildBinary(t)
	for page, script := range siteScripts(t) {
		t.Run(filepath.Base(page), func(t *testing.T) {
			site := startProcesses(t, binary, script)
			ctx, cancel := context.WithTimeout(context.Background(), siteLimit)
			defer cancel()
			answers := map[topo.ServerID]bool{}
			for _, port := range []string{"7401", "7403", "7405"} {
				answers[site.request(ctx, site.ports[port]).Server] = true
			}
			gomega.NewWithT(t).Expect(answers).To(gomega.HaveLen(1), "zones reached different servers: %v", answers)
		})
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "burdockspindle")
	build := exec.Command("go", "build", "-o", binary, "./cmd/burdockspindle")
	build.Dir = repository
	output, err := build.CombinedOutput()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return binary
}

// siteScripts joins the commands of each page that contains any.
func siteScripts(t *testing.T) map[string]string {
	t.Helper()
	blocks, err := docblocks.ReadAll(repository)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	scripts := map[string]string{}
	for _, block := range blocks {
		if block.Kind == "sh" && block.Tag == "site" {
			scripts[block.File] += block.Text
		}
	}
	return scripts
}

// startProcesses runs a script to its end. Its background processes
// run until the test ends.
func startProcesses(t *testing.T, binary, script string) *processes {
	t.Helper()
	g := gomega.NewWithT(t)
	site := &processes{t: t, folder: t.TempDir(), ports: map[string]string{}}
	site.prepare(binary)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(site.log())
		}
	})
	site.script = site.adapt(script)
	ctx, cancel := context.WithTimeout(context.Background(), siteLimit)
	defer cancel()
	err := site.start(ctx).Wait()
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the commands failed:\n%s", site.log())
	g.Expect(site.log()).To(gomega.ContainSubstring(endOfCommands))
	return site
}

// prepare links the binary and copies the examples, with free ports in
// place of the fixed ports of the pages.
func (p *processes) prepare(binary string) {
	g := gomega.NewWithT(p.t)
	g.Expect(os.MkdirAll(filepath.Join(p.folder, "bin"), 0o750)).To(gomega.Succeed())
	g.Expect(os.Symlink(binary, filepath.Join(p.folder, "bin/burdockspindle"))).To(gomega.Succeed())
	g.Expect(os.MkdirAll(filepath.Join(p.folder, siteFolder), 0o750)).To(gomega.Succeed())
	for _, pattern := range []string{"examples/*.jsonc", siteFolder + "/*"} {
		files, err := filepath.Glob(filepath.Join(repository, pattern))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, file := range files {
			p.copy(file)
		}
	}
}

func (p *processes) copy(file string) {
	g := gomega.NewWithT(p.t)
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	name, err := filepath.Rel(repository, file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(p.folder, name), []byte(p.withFreePorts(string(text))), 0o600)).To(gomega.Succeed())
}

// withFreePorts replaces each fixed port by a free one, consistently across all files.
func (p *processes) withFreePorts(text string) string {
	text = loopbackPort.ReplaceAllStringFunc(text, func(address string) string {
		return "127.0.0.1:" + p.port(strings.TrimPrefix(address, "127.0.0.1:"))
	})
	return loopPort.ReplaceAllStringFunc(text, func(port string) string {
		if p.isFree(port) {
			return port
		}
		return p.port(port)
	})
}

func (p *processes) isFree(port string) bool {
	for _, free := range p.ports {
		if free == port {
			return true
		}
	}
	return false
}

// port returns the free port that replaces a fixed port of the pages.
func (p *processes) port(fixed string) string {
	if fixed == "0" {
		return fixed
	}
	if _, known := p.ports[fixed]; !known {
		p.ports[fixed] = freePort(p.t)
	}
	return p.ports[fixed]
}

// Ports for processes are chosen below the ephemeral range that the system assigns to
// connections, so that none is in use before its process listens.
const (
	firstPort = 20_000
	portCount = 12_000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid())) }

func freePort(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := fmt.Sprint(firstPort + nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			_ = listener.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return ""
}

// adapt makes a page's script run in the copy: on free ports and with the binary
// that is already built. The stand-ins' default ports become explicit.
func (p *processes) adapt(script string) string {
	script = strings.ReplaceAll(script, "go build -o bin/burdockspindle ./cmd/burdockspindle", "true")
	script = strings.ReplaceAll(script, "standin log &", "standin log --listen 127.0.0.1:7100 &")
	script = strings.ReplaceAll(script, "standin vms &", "standin vms --listen 127.0.0.1:7200 &")
	return "set -euo pipefail\n" + p.withFreePorts(script) + "\necho " + endOfCommands + "\n"
}

// start runs the script in its own process group, which is killed when the test
// ends.
func (p *processes) start(ctx context.Context) *exec.Cmd {
	g := gomega.NewWithT(p.t)
	logFile, err := os.Create(filepath.Join(p.folder, "log"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shell := exec.CommandContext(ctx, "bash", "-c", p.script)
	shell.Dir = p.folder
	shell.Stdout, shell.Stderr = logFile, logFile
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	g.Expect(shell.Start()).To(gomega.Succeed())
	group := shell.Process.Pid
	p.t.Cleanup(func() {
		_ = syscall.Kill(-group, syscall.SIGKILL)
		_ = logFile.Close()
	})
	return shell
}

func (p *processes) log() string {
	text, err := os.ReadFile(filepath.Join(p.folder, "log"))
	gomega.NewWithT(p.t).Expect(err).NotTo(gomega.HaveOccurred())
	return string(text)
}

// request retries a request for a record at an entry node until it is answered.
func (p *processes) request(ctx context.Context, port string) server.Answer {
	g := gomega.NewWithT(p.t)
	var answer server.Answer
	path := callerapi.KeyedPath("well-logs", "bore-7", "records/bore-7")
	g.Eventually(func(g gomega.Gomega) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.0.1:"+port+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		g.Expect(response.Header.Get(callerapi.HeaderOutcome)).To(gomega.Equal(string(serverapi.OutcomeAnswered)),
			"port %s: %s", port, response.Header.Get(callerapi.HeaderReason))
		answer, err = server.ReadAnswer(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}).WithContext(ctx).WithTimeout(time.Minute).WithPolling(200 * time.Millisecond).Should(gomega.Succeed())
	return answer
}
