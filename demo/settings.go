package demo

import (
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/topo"
)

// settingsOf returns the settings of one entry node: the defaults with the in-memory
// stand-ins of this process instead of the platform.
func (s *Site) settingsOf(id topo.NodeID, zone topo.Zone) *settings.Settings {
	node := &settings.Settings{
		Node:     id,
		Zone:     zone,
		Region:   region,
		Frontend: settings.Listener{Address: s.listen},
		Peer:     settings.Listener{Address: s.listen},
		Log:      settings.Driver{Name: "memory", Options: map[string]any{"name": s.logName(id)}},
		VMs:      settings.Driver{Name: "memory", Options: map[string]any{"name": s.name}},
		Servers:  settings.Driver{Name: settings.DefaultServerDriver},
		Balance:  settings.Driver{Name: settings.DefaultBalance},
		Limits:   settings.DefaultLimits(),
		Timing:   settings.DefaultTiming(),
		LogLevel: settings.DefaultLogLevel,
	}
	if s.adjust != nil {
		s.adjust(node)
	}
	return node
}
