// Package experiment is the load and experiment tool: it runs scenarios against
// the production decision code on a virtual clock (package engine), all policies
// with the same arrivals, and reports imbalance, churn, unavailable
// time, goodput and latency. Equal seeds produce equal figures on every
// machine.
package experiment

import (
	"context"
	"io"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/burdockspindle/burdockspindle/experiment/engine"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/model"
	balancemodules "github.com/burdockspindle/burdockspindle/modules/balance"
	pickmodules "github.com/burdockspindle/burdockspindle/modules/pick"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/scenarios"
)

// Options selects what to run. Empty lists select the defaults.
type Options struct {
	Scenarios  []string // names or files
	Policies   []string // balance policies
	Pickers    []string // of services that are not divided by key
	Deployment string
	EntryNodes int // in each zone; 0 for the deployment's number
	Seed       uint64
	JSON       bool
	Report     string // file of the HTML report; empty for none
}

// maxEntryNodes is the maximum number of entry nodes in a zone.
const maxEntryNodes = 1000

// Defaults of Options.
const (
	DefaultDeployment = model.Urbion
	DefaultScenario   = "moving-hot-keys"
	DefaultSeed       = 1
	DefaultPicker     = "dchoices"
)

// DefaultPolicies are the policies that are compared by default.
var DefaultPolicies = []string{"static", "greedy", "push"}

// Result is the result of one run.
type Result struct {
	Scenario    string          `json:"scenario"`
	Description string          `json:"description"`
	Deployment  string          `json:"deployment"`
	Seed        uint64          `json:"seed"`
	Figures     *engine.Figures `json:"figures"`
	// Against contains the ratios of the figures to those of the static policy in the
	// same scenario; nil if the static policy was not run.
	Against *Ratios `json:"againstStatic,omitempty"`
}

// Ratios compare a run with the baseline of its scenario; a ratio is 0 if the
// baseline's figure is 0.
type Ratios struct {
	CoefficientOfVariation float64 `json:"coefficientOfVariation"`
	MaxOverMean            float64 `json:"maxOverMean"`
	P99                    float64 `json:"p99"`
	Goodput                float64 `json:"goodput"`
}

// baseline is the policy that Ratios compare with.
const baseline = "static"

// withDefaults replaces empty options by their defaults.
func (o Options) withDefaults() Options {
	o.Scenarios = expand(o.Scenarios, []string{DefaultScenario}, scenarios.Names())
	o.Policies = expand(o.Policies, DefaultPolicies, moduleNames(balancemodules.Namespace))
	o.Pickers = expand(o.Pickers, []string{DefaultPicker}, moduleNames(pickmodules.Namespace))
	if o.Deployment == "" {
		o.Deployment = DefaultDeployment
	}
	return o
}

// all selects every available name.
const all = "all"

// expand returns the names, the default names if there are none, and every available
// name for "all".
func expand(names, byDefault, every []string) []string {
	if len(names) == 0 {
		return byDefault
	}
	if slices.Contains(names, all) {
		return every
	}
	return names
}

func moduleNames(namespace string) []string {
	var names []string
	for _, id := range kernel.IDs(namespace) {
		names = append(names, id.Name())
	}
	return names
}

// Run runs every scenario with every policy and writes the results to stdout as
// text or JSON, and to the report file. Progress is written to stderr if it is a
// terminal.
func Run(ctx context.Context, options Options, stdout, stderr io.Writer) error {
	if options.Deployment == Gateway {
		return runGateway(options, stdout)
	}
	options = options.withDefaults()
	results, err := Results(ctx, options, newProgress(stderr))
	if err != nil {
		return err
	}
	if options.Report != "" {
		if err := writeReport(options.Report, results); err != nil {
			return err
		}
	}
	if options.JSON {
		return writeJSON(stdout, results)
	}
	return writeText(stdout, results)
}

// Results runs every scenario with every policy.
func Results(ctx context.Context, options Options, progress *progress) ([]Result, error) {
	options = options.withDefaults()
	deployment, exists := model.Preset(options.Deployment)
	if !exists {
		known := []string{model.Kavango, model.Urbion}
		return nil, &UnknownNameError{Kind: "deployment", Name: options.Deployment, Known: known}
	}
	if options.EntryNodes < 0 || options.EntryNodes > maxEntryNodes {
		return nil, &EntryNodesError{Given: options.EntryNodes}
	}
	if options.EntryNodes > 0 {
		deployment.EntryPerZone = options.EntryNodes
	}
	var results []Result
	for _, name := range options.Scenarios {
		scenario, err := LoadScenario(name)
		if err != nil {
			return nil, err
		}
		more, err := runScenario(ctx, options, deployment, scenario, progress)
		if err != nil {
			return nil, err
		}
		results = append(results, more...)
	}
	return results, nil
}

// runScenario runs one scenario with every policy and picker on the same
// arrivals, several runs concurrently.
func runScenario(
	ctx context.Context, options Options, d *model.Deployment, s *Scenario, progress *progress,
) ([]Result, error) {
	faults, traffic, err := s.resolve(d)
	if err != nil {
		return nil, err
	}
	base := engine.Options{
		Deployment:     d,
		Traffic:        traffic,
		Arrivals:       model.Arrivals(d, traffic, options.Seed),
		Faults:         faults,
		Seed:           options.Seed,
		Warmup:         s.Warmup,
		CallerRetries:  s.CallerRetries,
		Cold:           s.Cold,
		DisturbedFrom:  s.DisturbedFrom,
		DisturbedUntil: s.DisturbedUntil,
	}
	var runs []engine.Options
	for _, policy := range options.Policies {
		for _, picker := range options.Pickers {
			run, err := prepare(base, policy, picker)
			if err != nil {
				return nil, err
			}
			run.Progress = progress.add(s.Name, traffic.Duration)
			runs = append(runs, run)
		}
	}
	results, err := runAll(ctx, runs)
	if err != nil {
		return nil, err
	}
	for i := range results {
		results[i].Scenario, results[i].Description = s.Name, s.Description
		results[i].Deployment, results[i].Seed = d.Name, options.Seed
		results[i].Figures.Picker = options.Pickers[i%len(options.Pickers)]
	}
	progress.done()
	compare(results)
	return results, nil
}

// maxConcurrentRuns is the number of concurrent runs. Each run is single-threaded, and
// its figures do not depend on other runs.
const maxConcurrentRuns = 4

func runAll(ctx context.Context, runs []engine.Options) ([]Result, error) {
	results := make([]Result, len(runs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(min(maxConcurrentRuns, runtime.GOMAXPROCS(0)))
	for i := range runs {
		group.Go(func() (err error) {
			results[i].Figures, err = engine.Run(ctx, &runs[i])
			return err
		})
	}
	return results, group.Wait()
}

// prepare completes the options of one run.
func prepare(o engine.Options, policy, picker string) (engine.Options, error) {
	var err error
	if o.Policy, err = balancemodules.Named(policy); err != nil {
		return o, unknownModule("policy", policy, balancemodules.Namespace)
	}
	if _, err = pickmodules.Named(picker); err != nil {
		return o, unknownModule("pick", picker, pickmodules.Namespace)
	}
	o.Picker = func() pick.Picker {
		made, _ := pickmodules.Named(picker) // the name is already checked
		return made
	}
	return o, nil
}

func unknownModule(kind, name, namespace string) error {
	return &UnknownNameError{Kind: kind, Name: name, Known: moduleNames(namespace)}
}

// compare sets the ratios against the baseline with the same picker.
func compare(results []Result) {
	for i := range results {
		for j := range results {
			base := results[j].Figures
			if base.Policy == baseline && base.Picker == results[i].Figures.Picker {
				results[i].Against = ratios(results[i].Figures, base)
			}
		}
	}
}

func ratios(f, base *engine.Figures) *Ratios {
	return &Ratios{
		CoefficientOfVariation: ratio(f.CoefficientOfVariation, base.CoefficientOfVariation),
		MaxOverMean:            ratio(f.MaxOverMean, base.MaxOverMean),
		P99:                    ratio(f.P99, base.P99),
		Goodput:                ratio(f.Goodput, base.Goodput),
	}
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}
