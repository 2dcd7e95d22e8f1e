package admin_test

import (
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
)

var _ = ginkgo.Describe("administration API over TLS", func() {
	ginkgo.It("with a CA file operators must also present a certificate", func() {
		t := ginkgo.GinkgoTB()
		authority, other := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "other")
		files := authority.Write(t, t.TempDir(), "a1", authority)
		r := startRig(t, sitefake.New(), "a1", &files)
		call := func(signer *tlstest.Authority) error {
			loader, err := tlsfiles.New(signer.Write(t, t.TempDir(), "operator", authority), hclog.NewNullLogger())
			r.Expect(err).NotTo(gomega.HaveOccurred())
			transport := &http.Transport{TLSClientConfig: loader.Client("127.0.0.1"), DisableKeepAlives: true}
			address := strings.Replace(r.url, "http://", "https://", 1)
			client, err := adminapi.NewClient(address, goodToken, "", &http.Client{Transport: transport})
			r.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = client.Status(background)
			return err
		}
		r.Expect(call(authority)).To(gomega.Succeed())
		r.Expect(call(other)).NotTo(gomega.Succeed(), "a certificate of another authority")
	})
})
