package settings

import (
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// readDriver reads {"name": ..., "options": {...}}. The module validates its
// options. The name is checked against the modules of the namespace that are
// linked into this program, if there are any.
func readDriver(value *jsonc.Value, namespace, defaultValue string) Driver {
	if !value.Present() {
		return Driver{Name: defaultValue, Options: map[string]any{}}
	}
	o := value.Object()
	name := o.Get("name")
	driver := Driver{Name: name.String(defaultValue)}
	if name.Present() {
		checkDriverName(name, namespace, driver.Name)
	}
	driver.Options = ReadOptions(o.Get("options"))
	o.Close()
	return driver
}

// ReadOptions reads the options of a driver without validating them; the driver
// does that.
func ReadOptions(options *jsonc.Value) map[string]any {
	if decoded, isObject := options.Any().(map[string]any); isObject {
		return decoded
	}
	if options.Present() {
		options.Object() // reports the wrong type
	}
	return map[string]any{}
}

func checkDriverName(value *jsonc.Value, namespace, name string) {
	known := kernel.IDs(namespace)
	if len(known) == 0 {
		return
	}
	names := make([]string, len(known))
	for i, id := range known {
		names[i] = id.Name()
		if names[i] == name {
			return
		}
	}
	value.Problem("no " + namespace + " driver is called " + strconv.Quote(name) + "; known: " + strings.Join(names, ", "))
}
