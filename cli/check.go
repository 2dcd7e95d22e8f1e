package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/gateway/config"
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
	kind := kindAuto
	return Command{
		Name:        "check",
		Description: "Validate a settings file or a site configuration and report every problem.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "file to validate")
			sub.String(&kind, "k", "kind", "settings, gateway (settings of a gateway node), site, or auto to detect it from the fields")
		},
		Run: func(_ context.Context, env *Env) error { return check(env, kind, file) },
	}
}

func check(env *Env, kind, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if kind == kindAuto {
		kind = detectKind(text, file)
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
		return &UsageError{Problem: "check: --kind must be settings, gateway, site or auto, not " + kind}
	}
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(env.Stdout, "%s: valid (%s)\n", file, kind); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

// detectKind returns the kind of a file: a site configuration if it has a
// "services" field, the settings of a gateway node if it has a "driver" field, and
// the settings of an entry node otherwise.
func detectKind(text []byte, file string) string {
	root, _ := jsonc.Parse(text, file)
	if root.Get("services").Present() {
		return kindSite
	}
	if root.Get("driver").Present() {
		return kindGateway
	}
	return kindSettings
}
