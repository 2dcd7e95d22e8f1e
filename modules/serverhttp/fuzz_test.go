package serverhttp

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// FuzzReadReply checks that a reply is accepted only if its status and body
// agree.
func FuzzReadReply(f *testing.F) {
	f.Add(200, []byte(`{"boot":"b","stamp":1,"highestTerm":"3.0"}`))
	f.Add(409, []byte(`{"refused":"stale-term","boot":"b","stamp":1}`))
	f.Add(409, []byte(`{"boot":"b"}`))
	f.Add(200, []byte(`{"boot":"b","stamp":-1}`))
	f.Add(200, []byte(`{"boot":"b"}{"refused":"x"}`))
	f.Add(500, []byte(``))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		response := &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
		reply, err := readReply(response)
		if err != nil {
			return
		}
		if (status == http.StatusOK) != (reply.Refused == "") {
			t.Fatalf("status %d with refusal %q", status, reply.Refused)
		}
		if reply.Boot == "" || reply.Stamp < 0 {
			t.Fatalf("accepted invalid reply: %+v", reply)
		}
	})
}

// FuzzHeaderNames checks that no header of a caller forges a header of the protocol.
func FuzzHeaderNames(f *testing.F) {
	f.Add("Burdockspindle-Fence")
	f.Add("burdockspindle-fence")
	f.Add("BURDOCKSPINDLE-TERM")
	f.Add("idempotency-key")
	f.Add("connection")
	f.Add("X-Caller")
	f.Fuzz(func(t *testing.T, name string) {
		if !isForwarded(name) {
			return
		}
		canonical := http.CanonicalHeaderKey(name)
		for _, own := range []string{serverapi.HeaderFence, serverapi.HeaderTerm, serverapi.HeaderIdempotencyKey, serverapi.HeaderRequestID} {
			if canonical == own {
				t.Fatalf("%q is forwarded as %s", name, own)
			}
		}
	})
}
