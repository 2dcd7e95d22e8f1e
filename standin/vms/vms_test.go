package vms_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

func vm(phase vmlist.Phase) vmlist.VM {
	return vmlist.VM{ID: "a", Role: vmlist.RoleEntry, Zone: "z", Phase: phase}
}

// TestLagIsMeasuredFromEachChange adds a VM, changes its phase and removes it.
func TestLagIsMeasuredFromEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := vms.New()
		shown := func() []vmlist.VM {
			list, err := p.VMs(context.Background())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return list
		}
		p.SetFaults(vms.Faults{ShowLag: 2 * time.Second, HideLag: 5 * time.Second})
		p.Put(vm(vmlist.PhaseLive))
		time.Sleep(2*time.Second - 1)
		g.Expect(shown()).To(gomega.BeEmpty())
		time.Sleep(time.Nanosecond)
		g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLive)))
		p.SetPhase("a", vmlist.PhaseLeaving)
		time.Sleep(time.Second)
		p.Remove("a")
		time.Sleep(4*time.Second - 1)
		g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLive)))
		time.Sleep(time.Nanosecond)
		g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLeaving)))
		time.Sleep(time.Second)
		g.Expect(shown()).To(gomega.BeEmpty())
	})
}

// TestConfigurationOverHTTP configures a platform by the documented requests.
func TestConfigurationOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	p := vms.New()
	go func() { served <- vms.Serve(ctx, listener, p) }()

	ask := func(method, path, body string) int {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+listener.Addr().String()+path, strings.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		return response.StatusCode
	}
	shown := func() []vmlist.VM {
		list, err := p.VMs(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return list
	}
	row := `{"vms":[{"id":"a","role":"entry","zone":"z","phase":"live"}]}`
	g.Expect(ask("PUT", vms.PathVMs, row)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLive)))
	g.Expect(ask("PUT", vms.PathVM+"a/leaving", "")).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLeaving)))
	g.Expect(ask("PUT", vms.PathOverride+"a", row)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.ConsistOf(vm(vmlist.PhaseLive)))
	g.Expect(ask("PUT", vms.PathOverride+"a", `{"vms":[]}`)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.BeEmpty())
	g.Expect(ask("DELETE", vms.PathOverride+"a", "")).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.HaveLen(1))
	g.Expect(ask("PUT", vms.PathFaults, `{"outage":true}`)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(ask("GET", vms.PathVMs, "")).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(ask("PUT", vms.PathFaults, `{}`)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(ask("DELETE", vms.PathVM+"a", "")).To(gomega.Equal(http.StatusNoContent))
	g.Expect(shown()).To(gomega.BeEmpty())

	for path, body := range map[string]string{
		vms.PathVMs:            `{"vms":[{"id":"a"}]}`,
		vms.PathVM + "a/late":  ``,
		vms.PathFaults:         `{"outrage":true}`,
		vms.PathOverride + "a": `no list`,
	} {
		g.Expect(ask("PUT", path, body)).To(gomega.Equal(http.StatusBadRequest), path)
	}
	cancel()
	g.Expect(<-served).To(gomega.Succeed())
}
