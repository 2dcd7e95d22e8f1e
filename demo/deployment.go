package demo

import (
	"cmp"
	"slices"

	"github.com/burdockspindle/burdockspindle/examples"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

const region topo.Region = "local"

const (
	nodesPerZone   = 2
	defaultServers = 10 // for a service that the preset does not contain
)

// deployment is the deployment that the demo runs.
type deployment struct {
	name    string
	text    []byte // site configuration
	site    *siteconfig.Site
	zones   []topo.Zone
	servers map[topo.Service]int
}

// deployments holds the site configuration text of each deployment.
var deployments = map[string][]byte{
	model.Kavango: examples.Kavango,
	model.Urbion:  examples.Urbion,
}

// loadDeployment reads a deployment; text replaces its site configuration.
func loadDeployment(name string, text []byte) (*deployment, error) {
	preset, known := model.Preset(name)
	if !known {
		return nil, &DeploymentError{Name: name}
	}
	if text == nil {
		text = deployments[name]
	}
	site, problems := siteconfig.Parse(text, name)
	if err := jsonc.ErrorOf(problems); err != nil {
		return nil, err
	}
	d := &deployment{name: name, text: text, site: site, zones: preset.Zones, servers: map[topo.Service]int{}}
	for service := range site.Services {
		d.servers[service] = defaultServers
		if sized := preset.Service(service); sized != nil {
			d.servers[service] = sized.Targets
		}
	}
	return d, nil
}

// resize sets the number of servers of each service; 0 leaves it unchanged.
func (d *deployment) resize(servers int) {
	for service := range d.servers {
		if servers > 0 {
			d.servers[service] = servers
		}
	}
}

// sortedServices lists the services of a site in order of name.
func sortedServices(site *siteconfig.Site) []*siteconfig.Service {
	services := make([]*siteconfig.Service, 0, len(site.Services))
	for _, service := range site.Services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b *siteconfig.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}
