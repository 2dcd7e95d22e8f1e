package command

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

const (
	phaseLeaving = vmlist.PhaseLeaving
	phaseGone    = vmlist.PhaseGone
	putTimeout   = 5 * time.Second
	// announceInterval is the time between two attempts to add the server to the list.
	announceInterval = 100 * time.Millisecond
)

// listRow is a server's row on the stand-in VM list. Without a URL it sends no
// requests.
type listRow struct {
	listURL string
	vm      vmlist.VM
	logger  hclog.Logger
}

func (f *serverFlags) vm(address string) vmlist.VM {
	return vmlist.VM{
		ID: f.id, Role: vmlist.RoleServer, Service: topo.Service(f.service),
		Zone: topo.Zone(f.zone), Region: topo.Region(f.region), Address: address, Phase: vmlist.PhaseLive,
	}
}

// announce adds the server to the list. It retries until the timeout, because the
// list may be started at the same time.
func (r listRow) announce(ctx context.Context, timeout time.Duration) error {
	if r.listURL == "" {
		return nil
	}
	body, err := vmlist.Encode([]vmlist.VM{r.vm})
	if err != nil {
		return &AnnounceError{URL: r.listURL, Cause: err}
	}
	deadline := time.Now().Add(timeout)
	for {
		err := r.put(ctx, vms.PathVMs, body)
		if err == nil {
			break
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return err
		}
		time.Sleep(announceInterval)
	}
	eventAnnounced.Log(r.logger, "address", r.vm.Address, "zone", r.vm.Zone)
	return nil
}

// setPhase changes the server's phase on the list and logs a failure.
func (r listRow) setPhase(phase vmlist.Phase) {
	if r.listURL == "" {
		return
	}
	path := vms.PathVM + url.PathEscape(r.vm.ID) + "/" + string(phase)
	if err := r.put(context.Background(), path, nil); err != nil {
		eventPhaseNotChanged.Log(r.logger, "phase", string(phase), "error", err)
		return
	}
	eventPhaseChanged.Log(r.logger, "phase", string(phase))
}

func (r listRow) put(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	target := strings.TrimRight(r.listURL, "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return &AnnounceError{URL: target, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &AnnounceError{URL: target, Cause: err}
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &AnnounceError{URL: target, Status: response.StatusCode}
	}
	return nil
}
