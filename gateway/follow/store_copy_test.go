package follow

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

func tableOfEra(t *testing.T, at store.Offset, boot string, era *store.Era) store.Record {
	t.Helper()
	text, err := json.Marshal(ranges.Table{Lessor: ranges.Lessor{Boot: boot}, Era: era})
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Offset: at, Key: TableKey, Value: text}
}

func resignationOfEra(t *testing.T, at store.Offset, era *store.Era) store.Record {
	t.Helper()
	text, err := json.Marshal(Heartbeat{Resigned: true, Era: era})
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Offset: at, Key: HeartbeatKey, Value: text}
}

func batchOf(end store.Offset, records ...store.Record) store.Batch {
	return store.Batch{Records: records, Next: end, End: end}
}

// Guards against a table that goes back with the store: a node knows a newer one than the copy has.
func TestNewestTableIsKeptWhenTheStoreReturnsFromACopy(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := store.Era(0), store.Era(1)
	var o Ownership
	o.fold(batchOf(49, tableOfEra(t, 22, "old", &first), tableOfEra(t, 48, "new", &first)), after(0))
	g.Expect(o.IsFromCopy()).To(gomega.BeFalse())
	o.fold(batchOf(store.At(1, 27), tableOfEra(t, store.At(1, 22), "old", &first), resignationOfEra(t, store.At(1, 26), &first)), after(time.Second))
	g.Expect(o.Table.Table.Lessor.Boot).To(gomega.Equal("new"))
	g.Expect(o.Table.Offset).To(gomega.Equal(store.Offset(48)))
	g.Expect(o.Resigned).To(gomega.BeFalse(), "another lessor has followed")
	g.Expect(o.IsFromCopy()).To(gomega.BeTrue())
	g.Expect(o.EraObservedAt).To(gomega.Equal(after(time.Second)))
	o.fold(batchOf(store.At(1, 28), tableOfEra(t, store.At(1, 27), "late", &first)), after(2*time.Second))
	g.Expect(o.IsFromCopy()).To(gomega.BeTrue(), "an append of the ended era that took effect late")
	g.Expect(o.EraObservedAt).To(gomega.Equal(after(time.Second)))
	o.fold(batchOf(store.At(1, 29), tableOfEra(t, store.At(1, 28), "new", &second)), after(3*time.Second))
	g.Expect(o.Table.Offset).To(gomega.Equal(store.At(1, 28)))
	g.Expect(o.IsFromCopy()).To(gomega.BeFalse())
}

// A node that starts after the store's return knows nothing but the copy.
func TestTableOfACopyIsRecognizedByANodeThatHasJustStarted(t *testing.T) {
	first := store.Era(0)
	for name, row := range map[string]struct {
		records []store.Record
		want    bool
	}{
		"a table of the era before":             {[]store.Record{tableOfEra(t, store.At(1, 22), "old", &first)}, true},
		"a table of a release without eras":     {[]store.Record{tableOfEra(t, store.At(1, 22), "old", nil)}, false},
		"no table, as at the start of the site": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			o := OwnershipOf(batchOf(store.At(1, 27), row.records...), after(0))
			gomega.NewWithT(t).Expect(o.IsFromCopy()).To(gomega.Equal(row.want))
		})
	}
	g := gomega.NewWithT(t)
	var o Ownership
	o.fold(batchOf(0), after(0))
	o.fold(batchOf(store.At(1, 0)), after(time.Second))
	g.Expect(o.IsFromCopy()).To(gomega.BeTrue(), "the first claim may be gone")
}

// Guards against servers that are treated as gone because the copy lacks their entries, and against a registry
// that other nodes do not adopt because it has not changed for the node that reads.
func TestServersThatTheCopyLacksAreKeptUntilTheyRegisterAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	onlyA := map[site.ServerName]bool{"a": true}
	r.Retain(onlyA, store.At(1, 8), after(0))
	put(r, site.Server{ID: "a"}, store.At(1, 8), after(0))
	g.Expect(r.Servers(both, after(reregistrationTime-1)).Servers).To(gomega.HaveLen(2))
	g.Expect(r.Servers(both, after(0)).Offset).To(gomega.Equal(store.At(1, 8)), "above that of all nodes before")
	g.Expect(r.Servers(both, after(reregistrationTime)).Servers).To(gomega.HaveLen(1), "b has not registered again")

	r.Retain(onlyA, store.At(1, 20), after(time.Minute))
	g.Expect(r.Servers(both, after(time.Minute)).Offset).To(gomega.Equal(store.At(1, 8)), "nothing has changed in this era")
}
