package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/configcheck"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// Kinds of file that the command check validates.
const (
	kindAuto     = "auto"
	kindSettings = "settings"
	kindSite     = "site"
	kindGateway  = "gateway"
)

func init() { Register(newCheckCommand) }

func newCheckCommand() Command {
	var file string
	var options platformCheck
	kind := kindAuto
	return Command{
		Name:        "check",
		Description: "Validate a settings file, a site configuration or a configuration of a platform and report every problem.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "file to validate")
			sub.String(&kind, "k", "kind", "settings, gateway (settings of a gateway node), site, platform (configuration of a gateway's platform), or auto to detect it from the fields")
			options.declare(sub)
		},
		Run: func(_ context.Context, env *Env) error { return check(env, kind, file, &options) },
	}
}

func check(env *Env, kind, file string, options *platformCheck) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if kind == kindAuto {
		kind = detectKind(text, file)
	}
	if format := formatNamed(kind); format != nil {
		return options.run(env, format, text, file)
	}
	if options.isSet() {
		return &UsageError{Problem: "check: --in-force, --strict, --json, --settings and --servers are for a configuration of a platform, not for kind " + kind}
	}
	switch kind {
	case kindSettings:
		_, err = settings.Load(file)
	case kindGateway:
		_, err = config.Load(file)
	case kindSite:
		_, problems := siteconfig.Parse(text, file)
		err = jsonc.ErrorOf(problems)
	default:
		return &UsageError{Problem: "check: --kind must be settings, gateway, site, platform or auto, not " + kind}
	}
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(env.Stdout, "%s: valid (%s)\n", file, kind); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// detectKind returns the kind of a file: the name of a platform whose configurations look like it, a site configuration if it has a
// "services" field, the settings of a gateway node if it has a "driver" field, and
// the settings of an entry node otherwise.
func detectKind(text []byte, file string) string {
	for _, format := range configcheck.Formats() {
		if format.IsLike(text) {
			return format.Name
		}
	}
	root, _ := jsonc.Parse(text, file)
	if root.Get("services").Present() {
		return kindSite
	}
	if root.Get("driver").Present() {
		return kindGateway
	}
	return kindSettings
}
