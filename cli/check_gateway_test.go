package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
)

func TestCheckDetectsGatewaySettings(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	text := `{"node": "n", "zone": "z", "driver": {"name": "platform"}, "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "nowhere"}}`
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	var out, problems bytes.Buffer
	code := cli.Main(context.Background(), []string{"check", file}, &cli.Env{Stdout: &out, Stderr: &problems, Getenv: os.Getenv})
	g.Expect(code).NotTo(gomega.Equal(cli.ExitOK))
	g.Expect(problems.String()).To(gomega.ContainSubstring("listen.peer"))
}
