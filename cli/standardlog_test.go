package cli_test

import (
	"bytes"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
)

var _ = ginkgo.Describe("standard log", func() {
	ginkgo.It("messages of libraries become events", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		var out bytes.Buffer
		logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: &out})

		_, err := fmt.Fprintln(cli.StandardWriter(logger), "Unsolicited response received")

		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(out.String()).To(gomega.ContainSubstring(`message of a library: event=1020 text="Unsolicited response received"`))
	})
})
