package follow

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// A snapshot of the topic contains the newest record of each key, in any order.
func TestNewestRecordDescribesPreviousLessors(t *testing.T) {
	record := func(key string, at store.Offset, value any) store.Record {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return store.Record{Key: key, Offset: at, Value: text}
	}
	long, short := int64(8000), int64(500)
	heartbeat := record(HeartbeatKey, 7, Heartbeat{PreviousMs: &short})
	table := record(TableKey, 5, ranges.Table{PreviousMs: &long})
	for name, row := range map[string]struct {
		records []store.Record
		want    time.Duration
		known   bool
	}{
		"in order":                      {[]store.Record{table, heartbeat}, 500 * time.Millisecond, true},
		"by key":                        {[]store.Record{heartbeat, table}, 500 * time.Millisecond, true},
		"an earlier release wrote last": {[]store.Record{heartbeat, record(TableKey, 9, ranges.Table{})}, 500 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var o Ownership
			for _, r := range row.records {
				g.Expect(o.apply(r)).To(gomega.Succeed())
			}
			g.Expect(o.KnowsPrevious).To(gomega.Equal(row.known))
			g.Expect(o.PreviousHeld).To(gomega.Equal(row.want))
		})
	}
}
