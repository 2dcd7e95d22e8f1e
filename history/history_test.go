package history

import (
	"bytes"
	"errors"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

func oneOfEach() []Event {
	shard := topo.ShardID{Service: "licensing", Index: 3, Key: "bore/7"}
	fence := topo.MakeFence(41, 1)
	return []Event{
		OwnerInterval{Server: "s1", Boot: "b", Shard: shard, Fence: fence, Except: []string{"k"}, From: 1, Until: 9},
		RunBegan{At: 2, Server: "s1", Boot: "b", RequestID: "r", CallerRequest: "c/1", Shard: shard, Fence: fence, Key: "k", Method: "POST", Ticket: "t"},
		RunEnded{At: 3, Server: "s1", Boot: "b", RequestID: "r", Committed: true, Value: 4, BodyDigest: "d"},
		ServerStopped{At: 4, Server: "s1", Boot: "b"},
		CallerSent{At: 5, Caller: "c", CallerRequest: "c/1", Attempt: 1, Key: "k", Method: "POST"},
		CallerAnswered{At: 6, Caller: "c", CallerRequest: "c/1", Attempt: 1, Status: 200, Outcome: serverapi.OutcomeAnswered, Whole: true},
		AssignmentKnown{At: 7, Node: "n", Shard: shard, Fence: fence, Owner: "s1", Acknowledged: true},
		SitePublished{At: 8, Publisher: "p", Base: 1, Accepted: true, Version: 2},
		SiteInForce{At: 9, Node: "n", Boot: "b", Version: 2},
	}
}

func TestEncodedHistoryReadsBackTheSame(t *testing.T) {
	g := gomega.NewWithT(t)
	var buffer bytes.Buffer
	g.Expect(Encode(&buffer, oneOfEach())).To(gomega.Succeed())
	decoded, err := Decode(&buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(oneOfEach()))
}

func TestDecodeRefusesUnknownKindsAndInvalidLines(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := Decode(bytes.NewBufferString(`{"kind":"other","event":{}}`))
	var unknown *UnknownKindError
	g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
	_, err = Decode(bytes.NewBufferString(`{"kind":"run-began","event":{"at":"x"}}`))
	var encoding *EncodingError
	g.Expect(errors.As(err, &encoding)).To(gomega.BeTrue())
	g.Expect(encoding.Kind).To(gomega.Equal(KindRunBegan))
}

func TestMemorySortsByTimeAndKeepsConcurrentRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	var memory Memory
	var wait sync.WaitGroup
	for i := range 50 {
		wait.Go(func() { memory.Record(ServerStopped{At: Time(50 - i)}) })
	}
	wait.Wait()
	events := memory.Events()
	g.Expect(events).To(gomega.HaveLen(50))
	for i, event := range events {
		g.Expect(event.When()).To(gomega.Equal(Time(i + 1)))
	}
	g.Expect(Select[ServerStopped](events)).To(gomega.HaveLen(50))
	g.Expect(Select[RunBegan](events)).To(gomega.BeEmpty())
}
