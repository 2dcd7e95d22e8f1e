// Package demo is the command "demo": a whole site in one process, under load
// and faults, evaluated from the history that its servers and callers record. The entry nodes
// are real and use loopback TCP; the platform and the backend servers
// are stand-ins. Tests also use its Site.
package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/model"
)

// Defaults and bounds of a run.
const (
	DefaultRequests   = 5000
	DefaultSeed       = 1
	DefaultDeployment = model.Kavango

	requestsPerSecond = 400
	minLoadSpan       = 10 * time.Second // long enough for all faults
	runTimeout        = time.Minute      // in addition to the load
	progressSteps     = 10
	faultStream       = 0xfa17 // separates the faults' random numbers from the load's
)

// Options configure a run.
type Options struct {
	Requests   int
	Seed       uint64
	Deployment string
	// Logger receives the demo's progress, and Nodes the log lines of nodes and servers;
	// nil for neither.
	Logger hclog.Logger
	Nodes  hclog.Logger
	// History receives the recorded history in its encoded form; nil for none.
	History io.Writer
}

func (o Options) withDefaults() Options {
	if o.Requests <= 0 {
		o.Requests = DefaultRequests
	}
	if o.Deployment == "" {
		o.Deployment = DefaultDeployment
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Nodes == nil {
		o.Nodes = hclog.NewNullLogger()
	}
	return o
}

// span returns the duration of the load.
func (o Options) span() time.Duration {
	return max(minLoadSpan, time.Duration(o.Requests)*time.Second/requestsPerSecond)
}

// Run runs the demo to its end. The error is a *ViolationError if an invariant
// was violated or nothing was answered; the summary is then complete.
func Run(ctx context.Context, options Options) (Summary, error) {
	options = options.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, options.span()+runTimeout)
	defer cancel()
	eventStarting.Log(options.Logger, "deployment", options.Deployment, "seed", options.Seed)
	site, err := StartSite(ctx, SiteOptions{
		Deployment: options.Deployment, Seed: options.Seed, Logger: options.Nodes,
	})
	if site != nil {
		defer site.Stop()
	}
	if err != nil {
		return Summary{}, err
	}
	if err := site.WaitReady(ctx); err != nil {
		return Summary{}, err
	}
	if err := site.exercise(ctx, options); err != nil {
		return Summary{}, err
	}
	settled := site.WaitSettled(ctx)
	site.Stop()
	if options.History != nil {
		if err := history.Encode(options.History, site.Memory.Events()); err != nil {
			return Summary{}, err
		}
	}
	return evaluate(site, settled, options.Logger)
}

// exercise runs the demo's load and faults.
func (s *Site) exercise(ctx context.Context, options Options) error {
	random := rand.New(rand.NewPCG(options.Seed, faultStream))
	keys, err := s.OwnedKeys()
	if err != nil {
		return err
	}
	chosen, err := s.chooseFaultTargets(keys, random)
	if err != nil {
		return err
	}
	load := Load{
		Requests:   options.Requests,
		Seed:       options.Seed,
		Span:       options.span(),
		Probed:     Spread(keys, chosen.lost, chosen.frozen),
		OnProgress: progress(options),
	}
	eventServing.Log(options.Logger, "requests", load.Requests, "over", load.Span)
	settled, err := s.Exercise(ctx, load, func(ctx context.Context) {
		s.injectFaults(ctx, chosen, load.Span, options.Logger)
	})
	if !settled {
		eventUnsettled.Log(options.Logger)
	}
	return err
}

func progress(options Options) func(finished int) {
	step := max(1, options.Requests/progressSteps)
	return func(finished int) {
		if finished%step == 0 {
			eventProgress.Log(options.Logger, "finished", finished, "of", options.Requests)
		}
	}
}

// evaluate logs the violations and returns the summary.
func evaluate(s *Site, settled Settled, logger hclog.Logger) (Summary, error) {
	summary, found := s.Evaluate(settled)
	longest := histcheck.Unavailable(s.Memory.Events(), IsProbe)
	eventLongest.Log(logger, "service", longest.Service, "key", longest.Key, "for", longest.Longest, "from", longest.From.Sub(0))
	texts := make([]string, len(found))
	for i, violation := range found {
		texts[i] = violation.String()
		eventViolation.Log(logger, "violation", texts[i])
	}
	if !summary.Passed() {
		return summary, &ViolationError{Violations: texts}
	}
	return summary, nil
}
