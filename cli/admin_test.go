package cli_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/cli"
)

var _ = ginkgo.Describe("commands to the administration API", func() {
	ginkgo.DescribeTable("publish reports the outcome",
		func(c publishCase) {
			t := ginkgo.GinkgoTB()
			g := gomega.NewWithT(t)
			api := &fakeAPI{status: c.status, body: c.body}
			server := httptest.NewServer(api)
			defer server.Close()
			file := writeFile(t, goodSite)
			got := run(map[string]string{"BURDOCKSPINDLE_TOKEN": "secret", "USER": "ann"}, "publish", "--admin", server.URL, "--base", "4", file)
			g.Expect(got.code).To(gomega.Equal(c.code), got.stderr)
			g.Expect(got.stdout).To(gomega.Equal(c.stdout))
			want := c.stderr
			if want != "" && want[:4] == "FILE" {
				want = file + want[4:]
			}
			g.Expect(got.stderr).To(gomega.Equal(want))
			g.Expect(api.last.URL.String()).To(gomega.Equal("/v1/site?base=4"))
			g.Expect(api.last.Header.Get("Authorization")).To(gomega.Equal("Bearer secret"))
			g.Expect(api.last.Header.Get("Burdockspindle-Operator")).To(gomega.Equal("ann"))
		},
		ginkgo.Entry("accepted", publishCase{`{"version": 5, "inForce": 5}`, 200, cli.ExitOK, "version 5 accepted\n", ""}),
		ginkgo.Entry("accepted before", publishCase{`{"version": 5, "inForce": 6, "repeated": true}`, 200, cli.ExitOK, "version 5 accepted (by an earlier attempt); version 6 is in force since\n", ""}),
		ginkgo.Entry("conflict", publishCase{`{"code": "conflict", "message": "version 5 is in force, not 4"}`, 409, cli.ExitConflict, "", "conflict: version 5 is in force, not 4\n"}),
		ginkgo.Entry("rejected", publishCase{`{"code": "rejected", "message": "shards-owned"}`, 409, cli.ExitFailure, "", "rejected: shards-owned\n"}),
		ginkgo.Entry("problems", publishCase{`{"code": "invalid", "message": "m", "problems": [{"file": "site", "line": 3, "field": "services.a.shards", "text": "cannot change"}]}`, 422, cli.ExitFailure, "", "FILE:3: services.a.shards: cannot change\n"}),
		ginkgo.Entry("wrong token", publishCase{`{"code": "unauthorized", "message": "a bearer token is needed"}`, 401, cli.ExitFailure, "", "unauthorized: a bearer token is needed\n"}),
	)

	ginkgo.It("publish checks the file first", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		got := run(map[string]string{"BURDOCKSPINDLE_TOKEN": "x"}, "publish", "--admin", "http://127.0.0.1:1", "--base", "0", writeFile(t, "{}"))
		g.Expect(got.code).To(gomega.Equal(cli.ExitFailure))
		g.Expect(got.stderr).To(gomega.ContainSubstring(":1: services: missing"))
	})

	ginkgo.It("status, dump, site and drain", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		api := &fakeAPI{status: 200}
		server := httptest.NewServer(api)
		defer server.Close()
		tokenFile := filepath.Join(t.TempDir(), "token")
		g.Expect(os.WriteFile(tokenFile, []byte("from file\n"), 0o600)).To(gomega.Succeed())
		call := func(command, body string) outcome {
			api.body = body
			return run(map[string]string{"BURDOCKSPINDLE_ADMIN": server.URL}, command, "--token-file", tokenFile)
		}
		g.Expect(call("status", `{"node": "n7", "siteVersion": 3}`).stdout).To(gomega.ContainSubstring(`"siteVersion": 3`))
		g.Expect(api.last.Header.Get("Authorization")).To(gomega.Equal("Bearer from file"))
		g.Expect(call("dump", `{"a": 1}`).stdout).To(gomega.Equal(`{"a": 1}`))
		g.Expect(call("site", `{"version": 3, "text": "{}\n"}`)).To(gomega.Equal(outcome{stdout: "{}\n", stderr: "version 3\n"}))
		g.Expect(call("drain", `{"accepted": 1}`).stdout).To(gomega.Equal("draining\n"))
		g.Expect(api.last.Method + api.last.URL.Path).To(gomega.Equal("POST/v1/drain"))

		api.status = 502
		g.Expect(call("status", "<html>").stderr).To(gomega.ContainSubstring("not an answer of the administration API: 502"))
		server.Close()
		g.Expect(call("status", "").code).To(gomega.Equal(cli.ExitFailure))
	})
})

// publishCase is a response of the API and the expected result of the command.
type publishCase struct {
	body           string
	status, code   int
	stdout, stderr string
}

// fakeAPI responds to every request with the same status and body, and records
// the last request.
type fakeAPI struct {
	status int
	body   string
	last   *http.Request
}

func (a *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.last = r
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(a.body))
}
