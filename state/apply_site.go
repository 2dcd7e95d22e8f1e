package state

import (
	"strconv"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (s *State) applyPublishSite(offset topo.Offset, body *bspb.PublishSite) *Conflict {
	if body.GetBase() != s.siteVersion {
		return &Conflict{
			Reason:   ReasonBase,
			Subject:  "site configuration",
			Expected: strconv.FormatUint(body.GetBase(), 10),
			InForce:  strconv.FormatUint(s.siteVersion, 10),
		}
	}
	site, err := siteconfig.FromProto(body.GetCompiled())
	if err != nil {
		return &Conflict{Reason: ReasonMalformed, Subject: err.Error()}
	}
	if conflict := s.checkTables(site); conflict != nil {
		return conflict
	}
	s.recordPastLimits(offset, site)
	s.replaceTables(site)
	s.site = site
	s.siteText = body.GetText()
	s.siteVersion++
	return nil
}

// checkTables rejects a site configuration that would change the shard count of a service
// whose shards are owned, or make such a service unkeyed.
func (s *State) checkTables(site *siteconfig.Site) *Conflict {
	for _, name := range sortedKeys(s.tables.entries) {
		table := s.tables.entries[name]
		service, listed := site.Services[name]
		if !listed || table.owned == 0 {
			continue
		}
		if count := keyedShards(service); count != table.count {
			return &Conflict{
				Reason:   ReasonShardsOwned,
				Subject:  string(name),
				Expected: strconv.FormatUint(uint64(count), 10),
				InForce:  strconv.FormatUint(uint64(table.count), 10),
			}
		}
	}
	return nil
}

// keyedShards returns the number of hash ranges of a service; 0 when unkeyed.
func keyedShards(service *siteconfig.Service) uint32 {
	if !service.Keyed {
		return 0
	}
	return service.Shards
}

// recordPastLimits records every MaxDisconnected that the new site
// configuration changes or drops.
func (s *State) recordPastLimits(offset topo.Offset, site *siteconfig.Site) {
	if s.site == nil {
		return
	}
	for name, old := range s.site.Services {
		next, listed := site.Services[name]
		if !listed || next.MaxDisconnected != old.MaxDisconnected {
			s.limits.set(name, s.limits.entries[name].replaced(old.MaxDisconnected, offset))
		}
	}
}

// replaceTables replaces the tables by those of the new site configuration. The
// table of a removed service is kept until none of its shards has an owner.
func (s *State) replaceTables(site *siteconfig.Site) {
	for name, table := range s.tables.entries {
		service, listed := site.Services[name]
		switch {
		case listed && keyedShards(service) == table.count:
			s.retiring.remove(name)
		case listed || table.owned == 0:
			s.forgetService(name)
		default:
			s.retire(name)
		}
	}
	for name, service := range site.Services {
		if _, exists := s.tables.get(name); !exists && service.Keyed {
			s.tables.set(name, newShardTable(name, service.Shards))
		}
	}
	for name := range s.limits.entries {
		if _, listed := site.Services[name]; !listed && !s.isRetiring(name) {
			s.limits.remove(name)
		}
	}
}

func (s *State) retire(name topo.Service) {
	if s.isRetiring(name) {
		return
	}
	s.retiring.set(name, s.site.Services[name])
}

func (s *State) isRetiring(name topo.Service) bool {
	_, retiring := s.retiring.get(name)
	return retiring
}

// forgetService drops a table without owned shards.
func (s *State) forgetService(name topo.Service) {
	s.removeTableReferences(name)
	s.dropTable(name)
	s.retiring.remove(name)
}

// dropDrained drops a retiring service once none of its shards has an owner.
func (s *State) dropDrained(name topo.Service) {
	if !s.isRetiring(name) || s.tables.entries[name].owned > 0 {
		return
	}
	s.forgetService(name)
	s.limits.remove(name)
}
