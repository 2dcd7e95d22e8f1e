package loghttp

import (
	"errors"
	"net/url"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/topo"
)

// For any response of the service, a read returns either a batch that satisfies the
// contract of platlog.Log or a typed error, and an append returns either an offset
// or a typed error.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"offset":7}`))
	f.Add(200, []byte(`{"first":3,"end":6,"records":[{"offset":3,"data":"YQ=="},{"offset":4},{"offset":5}]}`))
	f.Add(200, []byte(`{"first":1,"end":9,"records":[{"offset":2},{"offset":4}]}`))
	f.Add(410, []byte(`{"code":"truncated","first":9}`))
	f.Add(503, []byte(`{"code":"unavailable","appended":false}`))
	f.Add(502, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		const from = topo.Offset(4)
		batch, err := readResult(from, status, body)
		if err == nil {
			checkBatch(t, from, batch)
		} else {
			checkTyped(t, err)
		}
		offset, err := appendResult(status, body)
		if err == nil && offset == 0 {
			t.Fatal("append returned neither an offset nor an error")
		}
		if err != nil {
			checkTyped(t, err)
		}
	})
}

func checkBatch(t *testing.T, from topo.Offset, batch platlog.Batch) {
	t.Helper()
	for i, entry := range batch.Entries {
		if entry.Offset != from+topo.Offset(i) {
			t.Fatalf("entry %d has offset %d", i, entry.Offset)
		}
	}
	if batch.End < from+topo.Offset(len(batch.Entries)) && len(batch.Entries) > 0 {
		t.Fatalf("end %d precedes the last entry", batch.End)
	}
}

func checkTyped(t *testing.T, err error) {
	t.Helper()
	var unavailable *platlog.UnavailableError
	var uncertain *platlog.UncertainError
	var truncated *platlog.TruncatedError
	if !errors.As(err, &unavailable) && !errors.As(err, &uncertain) && !errors.As(err, &truncated) {
		t.Fatalf("untyped error: %v", err)
	}
}

func TestOptions(t *testing.T) {
	cases := []struct {
		name    string
		options map[string]any
		bad     string // option named in the error; empty if the options are valid
	}{
		{"valid", map[string]any{"url": "http://127.0.0.1:1/x", "stream": "s"}, ""},
		{"no URL", map[string]any{"stream": "s"}, "url"},
		{"other scheme", map[string]any{"url": "ftp://127.0.0.1"}, "url"},
		{"query", map[string]any{"url": "http://127.0.0.1?a=b"}, "url"},
		{"wrong type", map[string]any{"url": 7}, "url"},
		{"unknown", map[string]any{"url": "http://127.0.0.1", "ulr": "x"}, "ulr"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := kernel.NewContext(kernel.Identity{}, nil)
			config := &settings.Settings{Log: settings.Driver{Options: c.options}}
			if err := kernel.Provide(ctx, config); err != nil {
				t.Fatal(err)
			}
			err := (&Module{}).Provision(ctx)
			var option *OptionError
			if named := errors.As(err, &option); named != (c.bad != "") || named && option.Option != c.bad {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestStreamNameIsEscaped(t *testing.T) {
	base, err := url.Parse("http://127.0.0.1/base/")
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient(base, "a/b", time.Second)
	want := "http://127.0.0.1/base/v1/streams/a%2Fb/records"
	if got := client.records.String(); got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}
