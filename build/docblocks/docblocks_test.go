package docblocks

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestReadKeepsKindTagAndJoinedCommands(t *testing.T) {
	g := gomega.NewWithT(t)
	page := filepath.Join(t.TempDir(), "README.md")
	text := "a\n```sh ci\n# comment\ngo   test \\\n  ./...\n\nls\n```\nb\n\n  ```jsonc site\n  {}\n  ```\n"
	g.Expect(os.WriteFile(page, []byte(text), 0o600)).To(gomega.Succeed())
	blocks, err := Read(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(blocks).To(gomega.HaveLen(2))
	g.Expect(blocks[0].Line).To(gomega.Equal(2))
	g.Expect(blocks[0].Kind + "/" + blocks[0].Tag).To(gomega.Equal("sh/ci"))
	g.Expect(blocks[0].Commands()).To(gomega.Equal([]string{"go test ./...", "ls"}))
	g.Expect(blocks[1].Kind + "/" + blocks[1].Tag).To(gomega.Equal("jsonc/site"))
}
