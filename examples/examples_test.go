package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/jsonc"
	_ "github.com/burdockspindle/burdockspindle/modules/standard" // registers the drivers, so that their names are checked
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

func TestSiteConfigurationsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := filepath.Glob("*.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.ConsistOf("kavango.jsonc", "urbion.jsonc"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, problems := siteconfig.Parse(text, file)
		g.Expect(jsonc.ErrorOf(problems)).NotTo(gomega.HaveOccurred())
	}
}

func TestSettingsAreValidAndMakeOneSite(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := filepath.Glob("site/*.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(6))
	perZone := map[string]int{}
	addresses := map[string]string{}
	for _, file := range files {
		s, err := settings.Load(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		perZone[string(s.Zone)]++
		g.Expect(filepath.Base(file)).To(gomega.Equal(string(s.Node) + ".jsonc"))
		for _, address := range []string{s.Frontend.Address, s.Peer.Address, s.Admin.Address} {
			g.Expect(addresses).NotTo(gomega.HaveKey(address), "%s and %s", file, addresses[address])
			addresses[address] = file
		}
		g.Expect(s.Seeds).NotTo(gomega.ContainElement(s.Peer.Address))
	}
	g.Expect(perZone).To(gomega.Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
}
