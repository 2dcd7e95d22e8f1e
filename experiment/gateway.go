package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/burdockspindle/burdockspindle/gateway/replay"
)

// Gateway is the deployment name in Options that selects the simulated site of
// package replay with the policies of that package.
const Gateway = "gateway"

// GatewayResult is the result of one run of a scenario of package replay.
type GatewayResult struct {
	Scenario    string        `json:"scenario"`
	Description string        `json:"description"`
	Seed        uint64        `json:"seed"`
	Policy      replay.Policy `json:"policy"`
	Figures     replay.Result `json:"figures"`
}

// GatewayOptionError reports an option that the simulated gateway does not have.
type GatewayOptionError struct{ Option string }

// Error implements error.
func (e *GatewayOptionError) Error() string {
	return "deployment " + Gateway + " has no option --" + e.Option
}

// ExitCode returns the exit code for wrong arguments.
func (e *GatewayOptionError) ExitCode() int { return exitUsage }

// GatewayResults runs every selected scenario with every selected policy that it supports;
// an empty selection means all.
func GatewayResults(options Options) ([]GatewayResult, error) {
	if err := checkGatewayOptions(options); err != nil {
		return nil, err
	}
	chosen, err := gatewayScenarios(options.Scenarios)
	if err != nil {
		return nil, err
	}
	policies, err := gatewayPolicies(options.Policies)
	if err != nil {
		return nil, err
	}
	var results []GatewayResult
	for _, scenario := range chosen {
		for _, policy := range scenario.Policies {
			if !policies[policy] {
				continue
			}
			load := scenario.Load
			load.Policy = policy
			results = append(results, GatewayResult{Scenario: scenario.Name, Description: scenario.Description, Seed: options.Seed, Policy: policy, Figures: replay.Run(load, options.Seed)})
		}
	}
	return results, nil
}

func checkGatewayOptions(options Options) error {
	switch {
	case len(options.Pickers) > 0:
		return &GatewayOptionError{Option: "pick"}
	case options.EntryNodes != 0:
		return &GatewayOptionError{Option: "entry-nodes"}
	case options.Report != "":
		return &GatewayOptionError{Option: "report"}
	}
	return nil
}

func gatewayScenarios(names []string) ([]replay.Scenario, error) {
	byName := map[string]replay.Scenario{}
	var known []string
	for _, scenario := range replay.Scenarios() {
		byName[scenario.Name] = scenario
		known = append(known, scenario.Name)
	}
	var chosen []replay.Scenario
	for _, name := range expand(names, known, known) {
		scenario, isKnown := byName[name]
		if !isKnown {
			return nil, &UnknownScenarioError{Name: name, Known: known}
		}
		chosen = append(chosen, scenario)
	}
	return chosen, nil
}

func gatewayPolicies(names []string) (map[replay.Policy]bool, error) {
	isKnown := map[string]bool{}
	var known []string
	for _, policy := range replay.Policies() {
		isKnown[string(policy)] = true
		known = append(known, string(policy))
	}
	chosen := map[replay.Policy]bool{}
	for _, name := range expand(names, known, known) {
		if !isKnown[name] {
			return nil, &UnknownNameError{Kind: "policy", Name: name, Known: known}
		}
		chosen[replay.Policy(name)] = true
	}
	return chosen, nil
}

// runGateway writes the results as text or JSON.
func runGateway(options Options, stdout io.Writer) error {
	results, err := GatewayResults(options)
	if err != nil {
		return err
	}
	if options.JSON {
		return writeJSON(stdout, results)
	}
	return writeGatewayText(stdout, results)
}

// gatewayColumns are the columns of the text output, in order.
var gatewayColumns = []gatewayColumn{
	{"asked", "%d", func(r *replay.Result) any { return r.Asked }},
	{"in time %", "%.1f", func(r *replay.Result) any { return percent(r.InTime, r.Asked) }},
	{"urgent in time %", "%.1f", func(r *replay.Result) any { return percent(r.UrgentInTime, r.Urgent) }},
	{"late %", "%.1f", func(r *replay.Result) any { return percent(r.Late, r.Asked) }},
	{"in vain", "%d", func(r *replay.Result) any { return r.InVain }},
	{"refused", "%d", func(r *replay.Result) any { return r.Refused }},
	{"left", "%d", func(r *replay.Result) any { return r.Left }},
	{"unserved ms", "%d", func(r *replay.Result) any { return r.UnservedMean().Milliseconds() }},
	{"full", "%d", func(r *replay.Result) any { return r.Overflow }},
	{"shed", "%d", func(r *replay.Result) any { return r.Shed }},
	{"lost", "%d", func(r *replay.Result) any { return r.Lost }},
	{"hung", "%d", func(r *replay.Result) any { return r.Hung }},
	{"not reached", "%d", func(r *replay.Result) any { return r.NotReached }},
	{"sends ×", "%.2f", func(r *replay.Result) any { return ratio(float64(r.Sends), float64(r.Asked)) }},
	{"other zone %", "%.1f", func(r *replay.Result) any { return percent(r.CrossZone, r.Sends) }},
	{"refused twice", "%d", func(r *replay.Result) any { return r.Returns.RefusedTwice }},
	{"of these wait", "%d", func(r *replay.Result) any { return r.Returns.RefusedTwiceWaiting }},
	{"waiting in time %", "%.1f", func(r *replay.Result) any { return percent(r.Returns.WaitingInTime, r.Returns.Waiting) }},
	{"at once in time %", "%.1f", func(r *replay.Result) any { return percent(r.Returns.AtOnceInTime, r.Returns.AtOnce) }},
}

type gatewayColumn struct {
	title  string
	format string
	value  func(*replay.Result) any
}

func percent(part, whole int) float64 { return 100 * ratio(float64(part), float64(whole)) }

func writeGatewayText(out io.Writer, results []GatewayResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	scenario := ""
	for i := range results {
		r := &results[i]
		if r.Scenario != scenario {
			scenario = r.Scenario
			writeGatewayHeading(table, r)
		}
		_, _ = fmt.Fprintf(table, "%s\t", r.Policy)
		for _, c := range gatewayColumns {
			_, _ = fmt.Fprintf(table, c.format+"\t", c.value(&r.Figures))
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func writeGatewayHeading(table *tabwriter.Writer, r *GatewayResult) {
	_ = table.Flush()
	_, _ = fmt.Fprintf(table, "\n%s, %s, seed %d: %s\n", Gateway, r.Scenario, r.Seed, r.Description)
	_, _ = fmt.Fprint(table, "policy\t")
	for _, c := range gatewayColumns {
		_, _ = fmt.Fprintf(table, "%s\t", c.title)
	}
	_, _ = fmt.Fprintln(table)
}
