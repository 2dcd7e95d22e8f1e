package siteconfig

import (
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Problem is one error in a site configuration, with its file, line, field and
// text.
type Problem = jsonc.Problem

// Parse reads and validates a site configuration. The file name is used only in
// problems. The site is complete only if no problem is returned.
func Parse(text []byte, file string) (*Site, []Problem) {
	return ParseChange(text, file, nil)
}

// ParseChange is Parse for a text that replaces the site configuration base,
// which is in force. It also rejects changes to fields that are fixed while a
// service exists. base is nil if no configuration is in force.
func ParseChange(text []byte, file string, base *Site) (*Site, []Problem) {
	root, report := jsonc.Parse(text, file)
	site := &Site{
		Services:      map[topo.Service]*Service{},
		LostZones:     readLostZones(root.Get("lostZones")),
		GroupsPerZone: int(root.Get("groupsPerZone").Int(DefaultGroupsPerZone, 1, maxGroupsPerZone)),
		TrustVMList:   root.Get("trustVMList").Bool(false),
	}
	services := root.Required("services")
	readServices(services, site)
	if base != nil {
		checkChange(services.Object(), base, site)
	}
	root.Close()
	return site, report.Problems()
}

func readServices(value *jsonc.Value, site *Site) {
	o := value.Object()
	names := o.Names()
	if value.Present() && len(names) == 0 {
		value.Problem("must hold at least one service")
	}
	for _, name := range names {
		field := o.Get(name)
		if !validServiceName(name) {
			field.Problem("a service's name is 1 to 63 lower-case letters, digits and inner dashes")
		}
		site.Services[topo.Service(name)] = readService(topo.Service(name), field.Object())
	}
	checkDependencies(o, site)
}

// validServiceName reports whether a name is safe as a path segment and as a host
// label.
func validServiceName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, c := range name {
		isLetter := c >= 'a' && c <= 'z'
		isDigit := c >= '0' && c <= '9'
		isInnerDash := c == '-' && i > 0 && i < len(name)-1
		if !isLetter && !isDigit && !isInnerDash {
			return false
		}
	}
	return true
}

func readService(name topo.Service, o *jsonc.Object) *Service {
	s := &Service{
		Name:                   name,
		DependsOn:              readDependsOn(o.Get("dependsOn")),
		Keyed:                  o.Required("keyed").Bool(false),
		ConcurrencyPerServer:   int(o.Required("concurrencyPerServer").Int(0, 1, maxPerServer)),
		ConnectionsPerServer:   int(o.Required("connectionsPerServer").Int(0, 1, maxPerServer)),
		ChecksFencing:          o.Required("checksFencing").Bool(false),
		IdempotentMethods:      readMethods(o.Get("idempotentMethods")),
		Deadline:               o.Get("deadline").Duration(DefaultDeadline, minDeadline, maxDeadline),
		MaxDisconnected:        readMaxDisconnected(o.Get("maxDisconnected")),
		Weighting:              readWeighting(o.Get("weighting")),
		MaxBodyBytes:           o.Get("maxBodyBytes").Int(DefaultMaxBodyBytes, 0, maxMaxBodyBytes),
		AcceptUnfencedTakeover: o.Get("acceptUnfencedTakeover").Bool(false),
		RequireIdempotencyKey:  o.Get("requireIdempotencyKey").Bool(true),
	}
	s.Shards = readShards(o, s.Keyed)
	checkService(o, s)
	o.Close()
	return s
}

func readShards(o *jsonc.Object, keyed bool) uint32 {
	value := o.Get("shards")
	shards := uint32(value.Int(DefaultShards, 1, MaxShards))
	if keyed {
		return shards
	}
	if value.Present() && o.Get("keyed").IsFalse() {
		value.Problem("only a keyed service has shards")
	}
	return 0
}

// checkService rejects combinations of values that are valid only individually.
func checkService(o *jsonc.Object, s *Service) {
	if s.ConnectionsPerServer > 0 && s.ConnectionsPerServer < s.ConcurrencyPerServer {
		text := "connectionsPerServer must be at least concurrencyPerServer = " + strconv.Itoa(s.ConcurrencyPerServer)
		o.Get("connectionsPerServer").Problem(text + ", since each request in flight holds a connection")
	}
	if s.AcceptUnfencedTakeover && s.ChecksFencing {
		o.Get("acceptUnfencedTakeover").Problem("has no meaning where checksFencing is true")
	}
}

func readDependsOn(value *jsonc.Value) []topo.Service {
	var services []topo.Service
	for _, element := range value.Elements() {
		services = append(services, topo.Service(element.Text()))
	}
	return services
}

func readMethods(value *jsonc.Value) map[string]bool {
	methods := map[string]bool{}
	if !value.Present() {
		for _, method := range defaultIdempotentMethods {
			methods[method] = true
		}
		return methods
	}
	for _, element := range value.Elements() {
		method := element.Choice("", knownMethods...)
		if methods[method] {
			element.Problem("given twice")
		}
		if method != "" {
			methods[method] = true
		}
	}
	return methods
}

func readMaxDisconnected(value *jsonc.Value) time.Duration {
	if value.IsString() && value.String("") == foreverText {
		return Forever
	}
	return value.Duration(DefaultMaxDisconnected, 0, maxMaxDisconnected)
}

func readWeighting(value *jsonc.Value) Weighting {
	if value.Choice(weightUnavailText, weightUnavailText, weightImbalanceText) == weightImbalanceText {
		return WeightImbalance
	}
	return WeightUnavailability
}

func readLostZones(value *jsonc.Value) map[topo.Zone]bool {
	zones := map[topo.Zone]bool{}
	for _, element := range value.Elements() {
		zone := topo.Zone(element.Text())
		if zones[zone] {
			element.Problem("given twice")
		}
		zones[zone] = true
	}
	return zones
}
