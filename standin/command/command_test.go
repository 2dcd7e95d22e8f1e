package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// output is a writer that is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func newEnv() *cli.Env {
	return &cli.Env{Stdout: &output{}, Stderr: &output{}, Getenv: func(string) string { return "" }}
}

func TestServerAnnouncesItselfAndLeavesTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := vms.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = vms.Serve(ctx, listener, platform) }()

	serving, stop := context.WithCancel(ctx)
	flags := &serverFlags{
		id: "s1", service: "logs", zone: "a", address: defaultServerAddress, admin: "127.0.0.1:0",
		vms: "http://" + listener.Addr().String() + "/", drainPeriod: time.Millisecond,
	}
	done := make(chan error, 1)
	go func() { done <- flags.run(serving, newEnv()) }()
	rows := func() []vmlist.VM {
		list, err := platform.VMs(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return list
	}
	g.Eventually(rows, "10s").Should(gomega.HaveLen(1))
	row := rows()[0]
	g.Expect(row.Phase).To(gomega.Equal(vmlist.PhaseLive))
	g.Expect(row.Role).To(gomega.Equal(vmlist.RoleServer))
	conn, err := net.Dial("tcp", row.Address)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the server listens where the list says")
	_ = conn.Close()

	stop()
	g.Eventually(done, "10s").Should(gomega.Receive(gomega.BeNil()))
	g.Expect(rows()[0].Phase).To(gomega.Equal(vmlist.PhaseGone))
}

// The list may have added the server although its response never arrived: a run of CI stopped
// the server in between, and the list showed it as live indefinitely.
func TestServerStoppedDuringAnnouncementLeavesTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	var paths []string
	list := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		if r.URL.Path == vms.PathVMs {
			_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not detect that the connection was closed
			stop()
			<-r.Context().Done()
		}
	}))
	defer list.Close()
	flags := &serverFlags{
		id: "s1", service: "logs", zone: "a", address: defaultServerAddress,
		vms: list.URL, drainPeriod: time.Millisecond, announceTimeout: time.Minute,
	}
	g.Expect(flags.run(serving, newEnv())).To(gomega.Succeed())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(paths).To(gomega.Equal([]string{vms.PathVMs, vms.PathVM + "s1/" + string(phaseLeaving), vms.PathVM + "s1/" + string(phaseGone)}))
}

func TestServerThatCannotAnnounceItselfDoesNotStart(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = listener.Close()
	flags := &serverFlags{id: "s1", service: "logs", zone: "a", address: defaultServerAddress, vms: "http://" + listener.Addr().String()}
	var announce *AnnounceError
	g.Expect(flags.run(context.Background(), newEnv())).To(gomega.BeAssignableToTypeOf(announce))
}

func TestServerWaitsForAListThatStartsLater(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	_ = listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flags := &serverFlags{
		id: "s1", service: "logs", zone: "a", address: defaultServerAddress,
		vms: "http://" + address, announceTimeout: time.Minute,
	}
	done := make(chan error, 1)
	go func() { done <- flags.run(ctx, newEnv()) }()
	g.Consistently(done, 3*announceInterval).ShouldNot(gomega.Receive())
	platform := vms.New()
	listener, err = net.Listen("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = vms.Serve(ctx, listener, platform) }()
	g.Eventually(func() ([]vmlist.VM, error) { return platform.VMs(ctx) }, "30s").Should(gomega.HaveLen(1))
}

func TestWrongFlags(t *testing.T) {
	g := gomega.NewWithT(t)
	var usage *cli.UsageError
	for _, flags := range []serverFlags{{}, {id: "s", service: "x"}, {id: "s", service: "x", zone: "a", concurrency: -1}} {
		g.Expect(flags.run(context.Background(), newEnv())).To(gomega.BeAssignableToTypeOf(usage))
	}
}

func TestRowsOfAFile(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "vms.json")
	write := func(text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed()) }
	write(`{"vms": [{"id": "s1", "role": "server", "service": "logs", "zone": "a", "address": "127.0.0.1:9", "phase": "live"}]}`)
	platform, err := newPlatform(file, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	list, err := platform.VMs(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list).To(gomega.HaveLen(1))
	write(`{"vms": [{"id": "s1"}]}`)
	_, err = newPlatform(file, 0)
	var unreadable *cli.FileError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(unreadable))
}
