package settings

import (
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// readDriver reads {"name": ..., "options": {...}}. The options are the
// module's to validate. The name is checked against the modules that are
// linked into this program, if there are any of the namespace.
func readDriver(value *jsonc.Value, namespace, byDefault string) Driver {
	if !value.Present() {
		return Driver{Name: byDefault, Options: map[string]any{}}
	}
	o := value.Object()
	name := o.Get("name")
	driver := Driver{Name: name.String(byDefault)}
	if name.Present() {
		checkDriverName(name, namespace, driver.Name)
	}
	driver.Options = ReadOptions(o.Get("options"))
	o.Close()
	return driver
}

// ReadOptions reads the options of a driver, which are the driver's to validate.
func ReadOptions(options *jsonc.Value) map[string]any {
	if decoded, isObject := options.Any().(map[string]any); isObject {
		return decoded
	}
	if options.Present() {
		options.Object() // notes the wrong type
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
