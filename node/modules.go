package node

import (
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
)

// moduleIDs returns a node's modules in start order. A module may use the
// services of earlier modules. Modules are drained in reverse order, so that
// terms are resigned while requests are still served, and listeners close last.
func moduleIDs(s *settings.Settings) []kernel.ModuleID {
	ids := []kernel.ModuleID{
		driver("log", s.Log),
		driver("vms", s.VMs),
		driver("servers", s.Servers),
		"peer.connect",
		"duty.follower",
		driver("balance", s.Balance),
		"duty.router",
		"frontend.http",
		"duty.membership",
		"duty.planner",
		"duty.lessor",
	}
	if s.Admin.Token != "" {
		ids = append(ids, "admin.http")
	}
	return ids
}

func driver(namespace string, d settings.Driver) kernel.ModuleID {
	return kernel.ModuleID(namespace + "." + d.Name)
}
