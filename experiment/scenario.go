package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/experiment/engine"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/scenarios"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Service names that a scenario may use for any deployment.
const (
	// serviceKeyed is the service that is divided by key.
	serviceKeyed = "keyed"
	// serviceDependency is the service that the keyed one calls.
	serviceDependency = "dependency"
	// serviceAll is every service.
	serviceAll = "all"
)

// Scenario describes the traffic and the faults of a run.
type Scenario struct {
	Name          string
	Description   string
	Warmup        time.Duration
	Traffic       model.Traffic
	Faults        []engine.Fault
	Cold          bool
	CallerRetries int
	// DisturbedFrom and DisturbedUntil bound the disturbance from which the run recovers.
	DisturbedFrom  time.Duration
	DisturbedUntil time.Duration
}

// Upper bounds of the values in a scenario.
const (
	maxDuration      = 10 * time.Minute
	maxFactor        = 1000
	maxRanks         = 1000
	maxServers       = 10_000
	maxCallerRetries = 10
	maxZones         = 100
)

// LoadScenario returns an embedded scenario by name, or reads a file. Errors
// are *UnknownScenarioError, *FileError or the error of a jsonc report.
func LoadScenario(nameOrFile string) (*Scenario, error) {
	if text, embedded := scenarios.Text(nameOrFile); embedded {
		return ParseScenario(nameOrFile, text, nameOrFile+scenarios.Extension)
	}
	if !strings.ContainsAny(nameOrFile, "./") {
		return nil, &UnknownScenarioError{Name: nameOrFile, Known: scenarios.Names()}
	}
	text, err := os.ReadFile(nameOrFile)
	if err != nil {
		return nil, &FileError{File: nameOrFile, Cause: err}
	}
	name := strings.TrimSuffix(filepath.Base(nameOrFile), filepath.Ext(nameOrFile))
	return ParseScenario(name, text, nameOrFile)
}

// ParseScenario reads the text of a scenario. The error names every problem
// with its line and field.
func ParseScenario(name string, text []byte, file string) (*Scenario, error) {
	root, report := jsonc.Parse(text, file)
	s := &Scenario{Name: name}
	s.Description = root.Required("description").Text()
	s.Traffic.Duration = root.Get("duration").Duration(30*time.Second, time.Second, maxDuration)
	s.Warmup = root.Get("warmup").Duration(0, 0, maxDuration)
	s.Cold = root.Get("cold").Bool(false)
	s.CallerRetries = int(root.Get("callerRetries").Int(0, 0, maxCallerRetries))
	s.readHotKeys(root.Get("hotKeys"))
	s.readDisturbed(root.Get("disturbed"))
	for _, element := range root.Get("phases").Elements() {
		s.Traffic.Phases = append(s.Traffic.Phases, readPhase(element.Object()))
	}
	for _, element := range root.Get("faults").Elements() {
		s.Faults = append(s.Faults, readFault(element.Object()))
	}
	if s.Warmup >= s.Traffic.Duration {
		root.Get("warmup").Problem("must be shorter than the duration")
	}
	root.Close()
	return s, report.Err()
}

func (s *Scenario) readHotKeys(value *jsonc.Value) {
	if !value.Present() {
		return
	}
	o := value.Object()
	s.Traffic.MoveHotKeysEvery = o.Get("moveEvery").Duration(0, 0, maxDuration)
	s.Traffic.MovedRanks = int(o.Get("ranks").Int(0, 0, maxRanks))
	s.Traffic.HotKeyShare = o.Get("share").Float(0, 0, 1)
	s.Traffic.HotKeyFrom = o.Get("from").Duration(0, 0, maxDuration)
	o.Close()
}

func (s *Scenario) readDisturbed(value *jsonc.Value) {
	if !value.Present() {
		return
	}
	o := value.Object()
	s.DisturbedFrom = o.Required("from").Duration(0, 0, maxDuration)
	s.DisturbedUntil = o.Required("until").Duration(0, 0, maxDuration)
	o.Close()
}

func readPhase(o *jsonc.Object) model.Phase {
	phase := model.Phase{
		From:        o.Required("from").Duration(0, 0, maxDuration),
		Factor:      o.Get("factor").Float(0, 0, maxFactor),
		Utilization: o.Get("utilization").Float(0, 0, maxFactor),
		Service:     topo.Service(o.Get("service").String("")),
	}
	if o.Get("factor").Present() == o.Get("utilization").Present() {
		o.FirstPresent("factor", "utilization").Problem("give either factor or utilization")
	}
	o.Close()
	return phase
}

func readFault(o *jsonc.Object) engine.Fault {
	kinds := []string{
		string(engine.FaultSlow), string(engine.FaultLie), string(engine.FaultShed), string(engine.FaultFail),
		string(engine.FaultLose), string(engine.FaultLoseZone), string(engine.FaultLoseLessor), string(engine.FaultReplace), string(engine.FaultRestartCold),
	}
	fault := engine.Fault{
		Kind:     engine.FaultKind(o.Required("kind").Choice("", kinds...)),
		At:       o.Required("at").Duration(0, 0, maxDuration),
		Until:    o.Get("until").Duration(0, 0, maxDuration),
		Service:  topo.Service(o.Get("service").String(serviceKeyed)),
		Factor:   o.Get("factor").Float(1, 0, maxFactor),
		Share:    o.Get("share").Float(0, 0, 1),
		Interval: o.Get("interval").Duration(time.Second, time.Millisecond, maxDuration),
		Zone:     int(o.Get("zone").Int(0, 0, maxZones)),
		Standby:  o.Get("standby").Bool(false),
	}
	for _, element := range o.Get("servers").Elements() {
		fault.Servers = append(fault.Servers, int(element.Int(0, 0, maxServers)))
	}
	slowing := fault.Kind == engine.FaultSlow || fault.Kind == engine.FaultLie
	if slowing && fault.Factor <= 0 {
		o.Get("factor").Problem("must be above 0")
	}
	o.Close()
	return fault
}

// resolve replaces the generic service names by the deployment's services.
func (s *Scenario) resolve(d *model.Deployment) ([]engine.Fault, model.Traffic, error) {
	var faults []engine.Fault
	for _, fault := range s.Faults {
		services, known := servicesOf(d, fault.Service)
		if !known {
			return nil, model.Traffic{}, &UnknownServiceError{Service: fault.Service, Scenario: s.Name}
		}
		for _, service := range services {
			fault.Service = service
			faults = append(faults, fault)
		}
	}
	traffic := s.Traffic
	traffic.Phases = nil
	for _, phase := range s.Traffic.Phases {
		if phase.Service == "" {
			traffic.Phases = append(traffic.Phases, phase)
			continue
		}
		services, known := servicesOf(d, phase.Service)
		if !known {
			return nil, model.Traffic{}, &UnknownServiceError{Service: phase.Service, Scenario: s.Name}
		}
		for _, service := range services {
			phase.Service = service
			traffic.Phases = append(traffic.Phases, phase)
		}
	}
	return faults, traffic, nil
}

func servicesOf(d *model.Deployment, name topo.Service) ([]topo.Service, bool) {
	var services []topo.Service
	for i := range d.Services {
		service := &d.Services[i]
		switch {
		case service.Name == name, name == serviceAll, name == serviceKeyed && service.Keyed:
			services = append(services, service.Name)
		case name == serviceDependency && service.Keyed && len(service.DependsOn) > 0:
			services = append(services, service.DependsOn[0].Service)
		}
	}
	return services, len(services) > 0
}
