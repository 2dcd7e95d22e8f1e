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
	// announceEvery is the time between two tries to get on the list.
	announceEvery = 100 * time.Millisecond
)

// listRow is a server's row on the stand-in VM list. Without a URL nothing is
// told.
type listRow struct {
	vms    string
	vm     vmlist.VM
	logger hclog.Logger
}

func (f *serverFlags) vm(address string) vmlist.VM {
	return vmlist.VM{
		ID: f.id, Role: vmlist.RoleServer, Service: topo.Service(f.service),
		Zone: topo.Zone(f.zone), Region: topo.Region(f.region), Address: address, Phase: vmlist.PhaseLive,
	}
}

// announce puts the server on the list. It tries again for a while, since the
// list may be started at the same time.
func (r listRow) announce(ctx context.Context, within time.Duration) error {
	if r.vms == "" {
		return nil
	}
	body, err := vmlist.Encode([]vmlist.VM{r.vm})
	if err != nil {
		return &AnnounceError{URL: r.vms, Cause: err}
	}
	giveUp := time.Now().Add(within)
	for {
		err := r.put(ctx, vms.PathVMs, body)
		if err == nil {
			break
		}
		if ctx.Err() != nil || !time.Now().Before(giveUp) {
			return err
		}
		time.Sleep(announceEvery)
	}
	eventAnnounced.Log(r.logger, "address", r.vm.Address, "zone", r.vm.Zone)
	return nil
}

// phase changes the server's phase on the list; a failure is only logged.
func (r listRow) phase(phase vmlist.Phase) {
	if r.vms == "" {
		return
	}
	path := vms.PathVM + url.PathEscape(r.vm.ID) + "/" + string(phase)
	if err := r.put(context.Background(), path, nil); err != nil {
		eventNotTold.Log(r.logger, "phase", string(phase), "error", err)
		return
	}
	eventWithdrawn.Log(r.logger, "phase", string(phase))
}

func (r listRow) put(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	target := strings.TrimRight(r.vms, "/") + path
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
