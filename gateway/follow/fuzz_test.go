package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/gateway/answertest"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Records of the ownership topic may be of another release, or of another writer.
func FuzzOwnershipRecords(f *testing.F) {
	for _, key := range []string{TableKey, HeartbeatKey, QuarantineKey, "other"} {
		f.Add(key, []byte(`{"era":0,"previousMs":1}`))
		for _, odd := range answertest.OddValues() {
			f.Add(key, []byte(odd))
			f.Add(key, []byte(`{"more":`+odd+`}`))
			f.Add(key, []byte(`{"era":`+odd+`}`))
			f.Add(key, []byte(`{"previousMs":`+odd+`}`))
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		o := new(Ownership)
		err := o.apply(store.Record{Offset: 1, Key: key, Value: value})
		isKnown := key == TableKey || key == HeartbeatKey || key == QuarantineKey
		if err == nil && isKnown && !json.Valid(value) {
			t.Fatalf("record %q with an invalid value was applied", key)
		}
	})
}

// Replies of other nodes may be of another release, or damaged.
func FuzzReplies(f *testing.F) {
	add := func(reply *bspb.FollowReply) {
		message, err := proto.Marshal(reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	add(&bspb.FollowReply{Limits: []*bspb.ServerLimit{{Server: "i", Rate: 1, AgeMs: 1 << 31}}})
	for _, odd := range answertest.OddValues() {
		add(&bspb.FollowReply{ServersChange: &bspb.ServersChange{Put: []byte(odd)}})
		add(&bspb.FollowReply{Servers: []byte(odd)})
		add(&bspb.FollowReply{Servers: compressed(f, odd)})
		add(&bspb.FollowReply{Servers: compressed(f, `{"servers":{"i":`+odd+`}}`)})
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		reply := new(bspb.FollowReply)
		if proto.Unmarshal(message, reply) != nil {
			return
		}
		servers, found, err := decodeRegistry(reply, view.NewState().Now())
		if found && err != nil {
			t.Fatalf("registry %v with error %v", servers, err)
		}
		limits := limitsOf(reply.Limits)
		view.NewState().MergeLimits(limits)
		if len(limits) > len(reply.Limits) {
			t.Fatal("limits that the reply does not have")
		}
	})
}

// compressed returns a text as a reply holds a registry.
func compressed(f *testing.F, text string) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write([]byte(text)); err != nil {
		f.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		f.Fatal(err)
	}
	return packed.Bytes()
}
