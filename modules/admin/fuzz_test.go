package admin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

// FuzzRequest sends authorized requests with any method, path, query and body. No
// request may cause a panic, every failure must have a code, and a publication may
// only be accepted with a version one above its base.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/v1/status", "")
	f.Add("GET", "/v1/shards?service=logs&from=2&max=99999999999999999999", "")
	f.Add("GET", "/v1/shards?service=logs&key=%00%2f", "")
	f.Add("POST", "/v1/site?base=1&retry=1", string(siteText(3)))
	f.Add("POST", "/v1/site?base=18446744073709551615", "{")
	f.Add("POST", "/v1/loss", `{"servers": ["s1", ""], "nodes": ["@"], "stopped": true}`)
	f.Add("POST", "/v1/moves", `{"moves": [{"shard": "logs/0/", "to": "s2"}, {"shard": "//", "to": ""}], "reason": "\u0000"}`)
	f.Add("PATCH", "/v1//site/..", "[]")
	r := newPopulatedRig(f)
	f.Fuzz(func(t *testing.T, method, target, body string) {
		parsed, err := url.ParseRequestURI(target)
		if err != nil || parsed.Host != "" || strings.HasPrefix(parsed.Path, adminapi.PathProfile) || strings.ContainsAny(method, " \r\n\t") || method == "" {
			return
		}
		request, err := http.NewRequest(method, r.url+parsed.RequestURI(), strings.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+goodToken)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return // rejected by the net/http client
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatalf("%s %s: response was interrupted: %v", method, target, err)
		}
		checkResponse(t, request, response.StatusCode, text)
	})
}

func checkResponse(t *testing.T, request *http.Request, status int, text []byte) {
	if request.Method == http.MethodHead || status == http.StatusBadRequest && !json.Valid(text) {
		return // rejected by the net/http server
	}
	if status/100 != 2 {
		var failure adminapi.Failure
		if err := json.Unmarshal(text, &failure); err != nil || failure.Code == "" || failure.Message == "" {
			t.Fatalf("%s %s: %d without a code: %q", request.Method, request.URL, status, text)
		}
		return
	}
	if request.URL.Path == adminapi.PathSite && request.Method == http.MethodPost {
		var published adminapi.Published
		if err := json.Unmarshal(text, &published); err != nil || published.Version == 0 || published.InForce < published.Version {
			t.Fatalf("publication: %q", text)
		}
	}
}
