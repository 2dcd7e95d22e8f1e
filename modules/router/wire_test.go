package router

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
)

// TestForwardedRequestsRoundTrip: any key, path and caller arrives as it was
// sent.
func TestForwardedRequestsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := forwardedRequest{
			Format:     forwardFormat,
			From:       "n1",
			To:         "n2",
			ID:         "id",
			Service:    "logs",
			Keyed:      true,
			Key:        rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "key"),
			Method:     "GET",
			Path:       rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "path"),
			Caller:     rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "caller"),
			DeadlineMs: rapid.Int64().Draw(t, "deadline"),
		}
		got, err := decodeForwardedRequest(encodeForward(sent))
		if err != nil {
			t.Fatal(err)
		}
		req := got.request(time.Unix(0, 0), nil)
		if req.Key != string(sent.Key) || req.Path != string(sent.Path) || req.Caller != string(sent.Caller) {
			t.Fatalf("%+v became %+v", sent, req)
		}
	})
}

func TestOtherFormatsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"", "{}", "[]", `{"format":2}`, `{"format":1,"id":"x"}`} {
		_, err := decodeForwardedRequest(text)
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&ForwardFormatError{}), text)
		_, err = decodeForwardedAnswer(text)
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&ForwardFormatError{}), text)
	}
}

func FuzzDecodeForwarded(f *testing.F) {
	f.Add(`{"format":1,"from":"a","to":"b","id":"x","service":"s","method":"GET","deadlineMs":-5}`)
	f.Add(`{"format":1,"id":"x","status":200,"outcome":"answered"}`)
	f.Fuzz(func(t *testing.T, text string) {
		if form, err := decodeForwardedRequest(text); err == nil {
			left := form.request(time.Unix(0, 0), nil).Deadline.Sub(time.Unix(0, 0))
			if left < 0 || left > callerapi.MaxDeadline {
				t.Fatalf("%v left", left)
			}
		}
		if form, err := decodeForwardedAnswer(text); err == nil {
			if answerOf(form, nil).Status < 100 {
				t.Fatal("no status")
			}
		}
	})
}
