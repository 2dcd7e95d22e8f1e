package settings

import (
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Problem is one error in a settings file, with its file, line, field and text.
type Problem = jsonc.Problem

// InvalidError holds every problem of a settings file; errors.As also finds
// the individual *Problem values.
type InvalidError = jsonc.InvalidError

// logLevels are the valid values of the setting logLevel.
var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Parse reads and validates settings without opening the files that they refer
// to. The settings are complete only if no problem is returned.
func Parse(text []byte, file string) (*Settings, []Problem) {
	root, report := jsonc.Parse(text, file)
	s := readSettings(root)
	return s, report.Problems()
}

func readSettings(root *jsonc.Object) *Settings {
	s := &Settings{
		Node:     topo.NodeID(readName(root.Required("node"))),
		Zone:     topo.Zone(readName(root.Required("zone"))),
		Region:   topo.Region(readOptionalName(root.Get("region"))),
		Frontend: readListener(root.Required("frontend").Object(), true),
		Peer:     readListener(root.Required("peer").Object(), false),
		Admin:    readAdmin(root.Get("admin")),
		Log:      readDriver(root.Required("log"), "log", DefaultLogDriver),
		VMs:      readDriver(root.Required("vms"), "vms", DefaultVMsDriver),
		Servers:  readDriver(root.Get("servers"), "servers", DefaultServerDriver),
		Balance:  readDriver(root.Get("balance"), "balance", DefaultBalance),
		Seeds:    readSeeds(root.Get("seeds")),
		Limits:   readLimits(root.Get("limits").Object()),
		Timing:   readTiming(root.Get("timing")),
		LogLevel: root.Get("logLevel").Choice(DefaultLogLevel, logLevels...),
	}
	checkAddresses(root, s)
	root.Close()
	return s
}

// maxNameLength is the maximum length in bytes of the names of nodes, zones and
// regions.
const maxNameLength = 63

// readName reads a name of letters, digits, dots, dashes and underscores, which
// is safe in a log record, a path and a metric.
func readName(value *jsonc.Value) string {
	name := value.Text()
	if name != "" && !validName(name) {
		value.Problem("must be 1 to 63 letters, digits, dots, dashes or underscores")
	}
	return name
}

func readOptionalName(value *jsonc.Value) string {
	if !value.Present() {
		return ""
	}
	return readName(value)
}

func validName(name string) bool {
	if len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
