package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
	_ "github.com/burdockspindle/burdockspindle/platform"
)

const platformConfig = `{"version":"0000000c","listeners":[{"host":"h","rules":[{"name":"r","kind":"safe","slo-s":0.5,"match":{"path-prefix":"/"},
 "action":{"service":"s","timeout-s":3,"max-attempts":2}}]}],"clusters":[{"name":"s"}]}`

// Guards against scripts that go on with a configuration that has errors, or stop at one that has none.
func TestCheckOfAPlatformConfigurationEndsWithItsStatus(t *testing.T) {
	for name, c := range map[string]struct {
		old, replacement string
		flags            []string
		status           int
		output           string
	}{
		"valid":                {"", "", nil, 0, "valid (0 warnings)"},
		"valid, strict":        {"", "", []string{"--strict"}, 0, "valid"},
		"warning":              {`"slo-s":0.5`, `"slo-s":5`, nil, 0, "timeout-below-objective"},
		"warning, strict":      {`"slo-s":0.5`, `"slo-s":5`, []string{"--strict"}, 1, "timeout-below-objective"},
		"error":                {`"/"`, `"x"`, nil, 2, "listeners[0].rules[0].match.path-prefix: error: "},
		"error, JSON":          {`"/"`, `"x"`, []string{"--json"}, 2, `"path": "listeners[0].rules[0].match.path-prefix"`},
		"version not above":    {`0000000c`, `0000000a`, []string{"--in-force", "old"}, 2, "stale-version"},
		"difference":           {`0000000c`, `0000000d`, []string{"--in-force", "old"}, 0, "changed route r: listeners[0].rules[0].slo-s: 0.4 -> 0.5"},
		"too few servers":      {"", "", []string{"--strict", "--servers", "s=1"}, 1, "more-attempts-than-servers"},
		"region without zones": {`"kind"`, `"allowed-regions":["north"],"kind"`, []string{"--settings", "settings"}, 2, "no-usable-region"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dir := t.TempDir()
			files := map[string]string{
				"next":     strings.Replace(platformConfig, c.old, c.replacement, 1),
				"old":      strings.Replace(platformConfig, `"slo-s":0.5`, `"slo-s":0.4`, 1),
				"settings": `{"node": "n", "zone": "z", "regions": {"z": "south"}, "driver": {"name": "platform"}, "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3"}}`,
			}
			args := []string{"check", filepath.Join(dir, "next")}
			for file, text := range files {
				g.Expect(os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600)).To(gomega.Succeed())
			}
			for _, flag := range c.flags {
				if _, isFile := files[flag]; isFile {
					flag = filepath.Join(dir, flag)
				}
				args = append(args, flag)
			}
			var out, problems bytes.Buffer
			status := cli.Main(context.Background(), args, &cli.Env{Stdout: &out, Stderr: &problems, Getenv: os.Getenv})
			g.Expect(status).To(gomega.Equal(c.status), out.String()+problems.String())
			g.Expect(out.String()).To(gomega.ContainSubstring(c.output))
		})
	}
}
