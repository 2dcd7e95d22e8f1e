package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// FuzzServe checks that a request for a shard which the server does not own is
// answered as not run, with the request's own ID, whatever its headers contain.
func FuzzServe(f *testing.F) {
	f.Add("/serve/records/bore%207", "bore%207", "licensing/1", "9.0", "800", "100", "")
	f.Add("/serve/records/", "", "licensing/1/x", "9.0", "-1", "0", "bs1-f9.0-1-0-0-0-b-n")
	f.Add("/serve/../ownership/lease", "%", "%2", "9", "", "", `"`)
	f.Add("/serve/records/k?size=99999999999&value=-1", "k", "a/4294967296", "1.4294967296", "x", "x", "x")
	s := New(Config{ID: "s1", Service: "licensing", Keyed: true, ChecksFencing: true})
	f.Fuzz(func(t *testing.T, path, key, shard, fence, deadline, progress, ticketText string) {
		if !strings.HasPrefix(path, serverapi.PathRequest) {
			return
		}
		request, err := http.NewRequest(http.MethodPost, "http://s1"+path, strings.NewReader("x"))
		if err != nil || !strings.HasPrefix(request.URL.Path, serverapi.PathRequest) {
			return
		}
		for name, value := range map[string]string{
			serverapi.HeaderRequestID: "r1", serverapi.HeaderService: "licensing", serverapi.HeaderKey: key,
			serverapi.HeaderShard: shard, serverapi.HeaderFence: fence, serverapi.HeaderDeadlineMs: deadline,
			serverapi.HeaderProgressMs: progress, serverapi.HeaderIdempotencyKey: ticketText,
		} {
			request.Header.Set(name, value)
		}
		answer := httptest.NewRecorder()
		s.ServeHTTP(answer, request)
		if got := outcomeOf(answer); got.outcome != serverapi.OutcomeNotRun || answer.Header().Get(serverapi.HeaderRequestID) != "r1" {
			t.Fatalf("answered %+v", got)
		}
		if s.Stats().Ran > 0 {
			t.Fatal("ran without ownership")
		}
	})
}
