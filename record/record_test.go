package record_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/record"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func valid() *bspb.Record {
	return &bspb.Record{
		Format: record.Format, Writer: "node@boot", Sequence: 7,
		Body: &bspb.Record_RemoveNode{RemoveNode: &bspb.RemoveNode{Node: "x"}},
	}
}

func TestRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := record.Encode(valid())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := record.Decode(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(proto.Equal(got, valid())).To(gomega.BeTrue())
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		change func(*bspb.Record)
		newer  bool
	}{
		{"newer format", func(r *bspb.Record) { r.Format = record.Format + 1 }, true},
		{"newer format with an unknown body", func(r *bspb.Record) { r.Format, r.Body = record.Format+1, nil }, true},
		{"no format", func(r *bspb.Record) { r.Format = 0 }, false},
		{"no writer", func(r *bspb.Record) { r.Writer = "" }, false},
		{"no sequence", func(r *bspb.Record) { r.Sequence = 0 }, false},
		{"no body", func(r *bspb.Record) { r.Body = nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			rec := valid()
			c.change(rec)
			_, err := record.Encode(rec)
			g.Expect(err).To(gomega.HaveOccurred())
			data, err := proto.Marshal(rec)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = record.Decode(data)
			var newer *record.NewerFormatError
			var malformed *record.DecodeError
			g.Expect(errors.As(err, &newer)).To(gomega.Equal(c.newer))
			g.Expect(errors.As(err, &malformed)).To(gomega.Equal(!c.newer))
		})
	}
}

func TestTooLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	rec := valid()
	rec.GetRemoveNode().Boot = string(bytes.Repeat([]byte("x"), record.MaxBytes))
	_, err := record.Encode(rec)
	var size *record.SizeError
	g.Expect(errors.As(err, &size)).To(gomega.BeTrue())
}

func TestWriter(t *testing.T) {
	g := gomega.NewWithT(t)
	node, boot, valid := record.ParseWriter(record.Writer("a@b", "c"))
	g.Expect([]any{string(node), string(boot), valid}).To(gomega.Equal([]any{"a@b", "c", true}))
	for _, text := range []string{"", "a", "@b", "a@"} {
		_, _, valid := record.ParseWriter(text)
		g.Expect(valid).To(gomega.BeFalse(), text)
	}
}

// Every decoded record can be encoded, and decodes to an equal record.
func FuzzDecode(f *testing.F) {
	data, err := record.Encode(valid())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x02})
	f.Add(bytes.Repeat([]byte{0xff}, 32))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := record.Decode(data)
		if err != nil {
			return
		}
		again, err := record.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		second, err := record.Decode(again)
		if err != nil || !proto.Equal(rec, second) {
			t.Fatalf("%v became %v, error %v", rec, second, err)
		}
	})
}
