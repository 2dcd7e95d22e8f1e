package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	readyTimeout   = 30 * time.Second
	readyPoll      = 50 * time.Millisecond
	readyDeadline  = time.Second
	settledTimeout = 20 * time.Second
)

// OwnedKey is a key with its owner at the time of the lookup.
type OwnedKey struct {
	Service topo.Service
	Key     string
	Owner   topo.ServerID
}

// View returns the view of the first node that still runs.
func (s *Site) View() (*state.View, error) {
	for _, one := range s.Nodes {
		if one.Lost {
			continue
		}
		source, err := kernel.Use[state.Source](one.Context())
		if err != nil {
			return nil, err
		}
		return source.View(), nil
	}
	return nil, &NotReadyError{Missing: "no entry node is running"}
}

// WaitReady waits until every node answers requests to every service and
// every shard has an owner.
func (s *Site) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.waitOwned(ctx); err != nil {
		return err
	}
	for _, one := range s.Nodes {
		if err := s.waitServing(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

// waitOwned waits until every node knows an owner of each shard of each keyed
// service.
func (s *Site) waitOwned(ctx context.Context) error {
	for _, one := range s.Nodes {
		source, err := kernel.Use[state.Source](one.Context())
		if err != nil {
			return err
		}
		for missing := s.unowned(source.View()); missing > 0; missing = s.unowned(source.View()) {
			if !clock.Wait(ctx, readyPoll) {
				text := fmt.Sprintf("%d shards have no owner at %s", missing, one.ID)
				return &NotReadyError{Missing: text, Cause: ctx.Err()}
			}
		}
	}
	return nil
}

func (s *Site) unowned(view *state.View) int {
	missing := 0
	for _, service := range s.deployment.site.Services {
		found := uint32(0)
		view.EachShard(service.Name, func(assignment state.Assignment) bool {
			if assignment.Owner != "" {
				found++
			}
			return true
		})
		if service.Keyed && found < service.Shards {
			missing += int(service.Shards - found)
		}
	}
	return missing
}

// waitServing waits until a node answers a request to each service.
func (s *Site) waitServing(ctx context.Context, one *SiteNode) error {
	direct := newClient(dialOnly(one.Frontend()), history.Discard{}, s.Clock)
	defer direct.close()
	for _, service := range sortedServices(s.deployment.site) {
		for {
			answer := direct.send(ctx, readyAttempt(service, one.ID))
			if answer.Outcome == serverapi.OutcomeAnswered {
				break
			}
			if !clock.Wait(ctx, readyPoll) {
				missing := fmt.Sprintf("%s through %s: %s %s", service.Name, one.ID, answer.Outcome, answer.Reason)
				return &NotReadyError{Missing: missing, Cause: ctx.Err()}
			}
		}
	}
	return nil
}

func readyAttempt(service *siteconfig.Service, node topo.NodeID) attempt {
	return attempt{
		caller: "ready", request: "ready/" + string(node) + "/" + string(service.Name), number: 1,
		service: service.Name, keyed: service.Keyed, record: keyName(service.Name, 0),
		method: http.MethodGet, deadline: readyDeadline,
	}
}

// OwnedKeys lists the keys in use of the keyed services with their owners.
func (s *Site) OwnedKeys() ([]OwnedKey, error) {
	view, err := s.View()
	if err != nil {
		return nil, err
	}
	var keys []OwnedKey
	for _, service := range sortedServices(s.deployment.site) {
		for i := range keysPerService {
			key := keyName(service.Name, i)
			assignment, exists := view.Lookup(service.Name, key)
			if service.Keyed && exists && assignment.Owner != "" {
				keys = append(keys, OwnedKey{service.Name, key, assignment.Owner})
			}
		}
	}
	return keys, nil
}

// Settled lists nodes that have applied the log up to the same record.
type Settled struct {
	Nodes   []topo.NodeID
	Applied topo.Offset
}

// WaitSettled waits until the running nodes have applied the same records, and
// returns them. Nodes that still lag after settledTimeout are left out, because the rule
// that acknowledged assignments are not lost does not limit the lag.
func (s *Site) WaitSettled(ctx context.Context) Settled {
	ctx, cancel := context.WithTimeout(ctx, settledTimeout)
	defer cancel()
	for {
		settled, lagging := s.mostAdvanced()
		if lagging == 0 || !clock.Wait(ctx, readyPoll) {
			return settled
		}
	}
}

// mostAdvanced lists the running nodes with the highest applied offset, and counts the
// other running nodes.
func (s *Site) mostAdvanced() (settled Settled, lagging int) {
	for _, one := range s.Nodes {
		if one.Lost {
			continue
		}
		source, err := kernel.Use[state.Source](one.Context())
		if err != nil {
			continue
		}
		switch applied := source.View().Applied(); {
		case applied > settled.Applied:
			lagging += len(settled.Nodes)
			settled = Settled{Nodes: []topo.NodeID{one.ID}, Applied: applied}
		case applied == settled.Applied:
			settled.Nodes = append(settled.Nodes, one.ID)
		default:
			lagging++
		}
	}
	return settled, lagging
}
