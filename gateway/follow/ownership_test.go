package follow

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

func tableRecord(t *testing.T, offset store.Offset, boot string) store.Record {
	t.Helper()
	text, err := json.Marshal(ranges.Table{Lessor: ranges.Lessor{Boot: boot}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return store.Record{Offset: offset, Key: TableKey, Value: text}
}

func heartbeatRecord(t *testing.T, offset store.Offset, resigned bool) store.Record {
	t.Helper()
	text, err := json.Marshal(Heartbeat{Boot: "b", Resigned: resigned})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return store.Record{Offset: offset, Key: HeartbeatKey, Value: text}
}

// A store returns only some of the records when they are long. A claim at the end of the
// topic that is based on these records would undo what the remaining ones contain.
func TestOwnershipIsUnknownUntilAllRecordsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Ownership
	o.fold(store.Batch{Records: []store.Record{tableRecord(t, 0, "one")}, Next: 1, End: 3}, after(0))
	g.Expect(o.Known).To(gomega.BeFalse())
	o.fold(store.Batch{Records: []store.Record{tableRecord(t, 1, "two"), heartbeatRecord(t, 2, false)}, Next: 3, End: 3}, after(time.Second))
	g.Expect(o.Known).To(gomega.BeTrue())
	g.Expect(o.Table.Table.Lessor.Boot).To(gomega.Equal("two"))
	g.Expect(o.Table.Offset).To(gomega.Equal(store.Offset(1)))
	g.Expect(o.EndObservedAt).To(gomega.Equal(after(0)), "the end was first observed then")
}

func TestClaimEndsResignation(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Ownership
	o.fold(store.Batch{Records: []store.Record{tableRecord(t, 0, "one"), heartbeatRecord(t, 1, true)}, Next: 2, End: 2}, after(0))
	g.Expect(o.Resigned).To(gomega.BeTrue())
	o.fold(store.Batch{Records: []store.Record{tableRecord(t, 2, "two")}, Next: 3, End: 3}, after(0))
	g.Expect(o.Resigned).To(gomega.BeFalse())
}

func TestInvalidTablePreventsClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Ownership
	problems := o.fold(store.Batch{Records: []store.Record{tableRecord(t, 0, "one"), {Offset: 1, Key: TableKey, Value: []byte("{")}}, Next: 2, End: 2}, after(0))
	g.Expect(problems).To(gomega.HaveLen(1))
	g.Expect(o.Known).To(gomega.BeFalse())
	o.fold(store.Batch{Records: []store.Record{tableRecord(t, 2, "two")}, Next: 3, End: 3}, after(0))
	g.Expect(o.Known).To(gomega.BeTrue())
}

// A record of an earlier release does not contain the duration of grants without a
// response, so that all grants are treated as uncertain.
func TestResignationWithoutUncertainGrantsTreatsAllAsUncertain(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Ownership
	g.Expect(o.apply(store.Record{Key: HeartbeatKey, Value: []byte(`{"resigned":true,"heldMs":3000}`)})).To(gomega.Succeed())
	g.Expect(o.Uncertain).To(gomega.Equal(3 * time.Second))
	g.Expect(o.apply(store.Record{Key: HeartbeatKey, Value: []byte(`{"resigned":true,"heldMs":3000,"doubtMs":0}`)})).To(gomega.Succeed())
	g.Expect(o.Uncertain).To(gomega.BeZero())
}
