package follow

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// jsonCodec decodes entries that are site.RegistryEntry values in JSON.
type jsonCodec struct{}

// Config implements view.Codec.
func (jsonCodec) Config(_ string, value []byte) (*site.Config, bool, error) {
	var config site.Config
	err := json.Unmarshal(value, &config)
	return &config, true, err
}

// Evacuation implements view.Codec.
func (jsonCodec) Evacuation(key string) (zone string, found bool) {
	return strings.CutPrefix(key, "evacuate/")
}

// Entry implements view.Codec.
func (jsonCodec) Entry(_ string, value []byte) (entry site.RegistryEntry, err error) {
	if err := json.Unmarshal(value, &entry); err != nil {
		return site.RegistryEntry{}, err
	}
	return entry, nil
}

// registryFixture is a node's reader and view, to which the tests feed records.
type registryFixture struct {
	t      *testing.T
	reader *Reader
	end    store.Offset
	log    bytes.Buffer
}

func newRegistryFixture(t *testing.T) *registryFixture {
	t.Helper()
	r := &registryFixture{t: t, end: 10}
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: &r.log, JSONFormat: true})
	r.reader = &Reader{Codec: jsonCodec{}, State: view.NewState(), Logger: logger, registry: NewRegistry()}
	r.reader.applyServers(store.Batch{Next: r.end, End: r.end}, true)
	return r
}

// incarnationID returns the ID of the incarnation of server s that started at this number of
// seconds; 0 means that the ID has no start time.
func incarnationID(started int) site.ServerID {
	if started == 0 {
		return site.IncarnationID("s", time.Time{})
	}
	return site.IncarnationID("s", start.Add(time.Duration(started)*time.Second))
}

func (r *registryFixture) text(started int, sequence int64) []byte {
	r.t.Helper()
	text, err := json.Marshal(site.RegistryEntry{Server: site.Server{ID: incarnationID(started), Address: "10.0.0.1:1", Service: "x"}, Sequence: sequence})
	gomega.NewWithT(r.t).Expect(err).NotTo(gomega.HaveOccurred())
	return text
}

func (r *registryFixture) apply(value []byte) {
	r.end++
	r.reader.applyServers(store.Batch{Records: []store.Record{{Offset: r.end - 1, Key: "s", Value: value}}, Next: r.end, End: r.end}, false)
}

// writes applies one write of an incarnation.
func (r *registryFixture) writes(started int, sequence int64) { r.apply(r.text(started, sequence)) }

func (r *registryFixture) snapshot(value []byte) {
	r.end++
	batch := store.Batch{Next: r.end, End: r.end}
	if value != nil {
		batch.Records = []store.Record{{Offset: r.end - 1, Key: "s", Value: value}}
	}
	r.reader.applyServers(batch, true)
}

// shows expects that the view contains exactly one incarnation, or none if started is -1.
func (r *registryFixture) shows(started int) {
	r.t.Helper()
	servers := r.reader.State.Now().Servers.Servers
	if started < 0 {
		gomega.NewWithT(r.t).Expect(servers).To(gomega.BeEmpty())
		return
	}
	gomega.NewWithT(r.t).Expect(servers).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey(incarnationID(started))))
}

// lines returns the number of log lines of an event.
func (r *registryFixture) lines(event string) int {
	return strings.Count(r.log.String(), `"event":`+event)
}

func TestLaterStartReplacesEarlierIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	r.writes(1, 7)
	r.shows(1)
	r.writes(2, 0)
	r.shows(2)
	g.Expect(r.lines("2018")).To(gomega.Equal(1))
	g.Expect(r.log.String()).To(gomega.ContainSubstring(`"offset":12`))
	g.Expect(r.lines("2013")).To(gomega.BeZero(), "the server has not left the registry")
	r.writes(1, 8)
	r.shows(2)
	r.snapshot(r.text(1, 9))
	r.shows(2)
}

// The later incarnation may have ended before a write of the earlier one takes effect.
func TestEarlierIncarnationDoesNotReturnAfterLaterOneLeft(t *testing.T) {
	r := newRegistryFixture(t)
	r.writes(1, 7)
	r.writes(2, 0)
	r.apply(nil)
	r.shows(-1)
	r.writes(1, 8)
	r.shows(-1)
	r.snapshot(r.text(1, 9))
	r.shows(-1)
	r.writes(2, 1)
	r.shows(2)
}

func TestIncarnationWithStartReplacesOneWithout(t *testing.T) {
	r := newRegistryFixture(t)
	r.writes(0, 7)
	r.shows(0)
	r.writes(1, 0)
	r.shows(1)
}

// The clock of the VM was set back, or was ahead before. A running server continues to
// write.
func TestEarlierStartIsAcceptedAfterSeveralWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture(t)
		r.writes(1000, 5)
		for i := range 3 {
			r.writes(1, int64(i))
			r.shows(1000)
			time.Sleep(870 * time.Millisecond)
		}
		r.writes(1, 3)
		r.shows(1)
		r.writes(1000, 6)
		r.shows(1) // a late write of the replaced incarnation
		r.writes(2, 0)
		r.shows(2) // a later start than the current one
	})
}

func TestWritesThatDoNotConfirmIncarnationAreNotAccepted(t *testing.T) {
	for name, write := range map[string]func(r *registryFixture, i int){
		"sequence does not grow": func(r *registryFixture, _ int) { r.writes(1, 5) },
		"the later incarnation also writes": func(r *registryFixture, i int) {
			r.writes(1, int64(i))
			r.writes(2, int64(i))
		},
		"each write from another incarnation": func(r *registryFixture, i int) { r.writes(-1-i, int64(i)) },
		"all at once": func(r *registryFixture, i int) {
			if i == 0 {
				for n := range 10 {
					r.writes(1, int64(n))
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistryFixture(t)
				r.writes(2, 5)
				for i := range 8 {
					write(r, i)
					r.shows(2)
					time.Sleep(870 * time.Millisecond)
				}
			})
		})
	}
}

// A server that restarts while the entry of its earlier incarnation is kept after an outage
// is treated as new, and is not affected when the earlier entry expires.
func TestNewIncarnationAfterOutageIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture(t)
		r.writes(1, 7)
		r.reader.registry.NoteReadFailed(time.Now())
		time.Sleep(3 * time.Second)
		r.snapshot(nil)
		r.shows(1) // kept after the outage
		r.writes(2, 0)
		r.shows(2)
		time.Sleep(2 * reregistrationTime)
		r.reader.publishServers(time.Now())
		r.shows(2)
	})
}

// Another node started with a snapshot in which a late write of an earlier incarnation was
// the newest record, so that its registry is newer and wrong.
func TestEarlierIncarnationReportedByAnotherNodeDoesNotReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	r.writes(1, 7)
	r.writes(2, 0)
	other := newRegistryFixture(t)
	other.end = 20
	other.snapshot(other.text(1, 8))
	other.shows(1)
	g.Expect(r.reader.State.MergeServers(other.reader.State.Now().Servers)).To(gomega.BeTrue())
	r.shows(2)
	r.end = 30
	r.apply(nil)
	r.shows(-1)
	other.end = 40
	other.writes(1, 9)
	other.apply([]byte("{")) // so that the registry changes again
	other.writes(1, 10)
	r.reader.State.MergeServers(other.reader.State.Now().Servers)
	r.shows(-1)
}

// A node that follows another one also accepts an incarnation with an earlier start time,
// once the other node has confirmed that it is running.
func TestIncarnationConfirmedByAnotherNodeIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, other := newRegistryFixture(t), newRegistryFixture(t)
		r.writes(1000, 5)
		other.writes(1000, 5)
		for i := range 4 {
			other.writes(1, int64(i))
			time.Sleep(870 * time.Millisecond)
		}
		other.shows(1)
		r.reader.State.MergeServers(other.reader.State.Now().Servers)
		r.shows(1)
	})
}

// An invalid entry replaces a valid one: no new request may be sent to the server because
// of the old entry.
func TestInvalidEntryRemovesServer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	before := invalidEntries.Value()
	r.writes(1, 7)
	r.apply([]byte("{"))
	r.shows(-1)
	g.Expect(r.lines("2019")).To(gomega.Equal(1))
	g.Expect(r.log.String()).To(gomega.ContainSubstring(`"key":"s"`))
	g.Expect(r.log.String()).To(gomega.ContainSubstring(`"offset":11`))
	r.apply([]byte("{"))
	r.snapshot([]byte("{"))
	g.Expect(r.lines("2019")).To(gomega.Equal(1), "unchanged entry")
	r.apply([]byte("["))
	g.Expect(r.lines("2019")).To(gomega.Equal(2))
	r.writes(1, 8)
	r.shows(1)
	r.snapshot([]byte("["))
	r.shows(-1)
	g.Expect(r.lines("2019")).To(gomega.Equal(3), "it was valid in the meantime")
	g.Expect(invalidEntries.Value() - before).To(gomega.Equal(int64(3)))
}

func TestInvalidEntryDoesNotAffectOtherEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	valid, err := json.Marshal(site.RegistryEntry{Server: site.Server{ID: "other"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch := store.Batch{Records: []store.Record{{Offset: 11, Key: "s", Value: []byte("x")}, {Offset: 12, Key: "other", Value: valid}}, Next: 13, End: 13}
	r.reader.applyServers(batch, true)
	g.Expect(r.reader.State.Now().Servers.Servers).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey(site.ServerID("other"))))
}

func TestInvalidEntryIsNotKeptAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture(t)
		r.writes(1, 7)
		r.reader.registry.NoteReadFailed(time.Now())
		time.Sleep(3 * time.Second)
		r.apply([]byte("{"))
		r.shows(-1)
	})
}

// Either all entries of a server have a start time or none has. An entry without one after
// one with it comes from another writer.
func TestEntryWithoutStartAfterOneWithStartIsInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	r.writes(1, 7)
	r.writes(0, 8)
	r.shows(-1)
	g.Expect(r.lines("2019")).To(gomega.Equal(1))
	r.writes(1, 9)
	r.shows(1)
	r.snapshot(r.text(0, 10))
	r.shows(-1)
}

// Many invalid entries must not flood the log.
func TestLogLinesOfInvalidEntriesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newRegistryFixture(t)
		for i := range 500 {
			r.apply([]byte(strings.Repeat("{", i+1)))
		}
		g.Expect(r.lines("2019")).To(gomega.BeNumerically("<=", 20))
	})
}

// The newest valid configuration remains in force.
func TestInvalidConfigurationIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistryFixture(t)
	take := func(text string) { r.reader.applyConfig(store.Record{Key: "c", Value: []byte(text)}) }
	take(`{"version":3}`)
	take(`{"version":4`)
	take(`{"version":"5"}`)
	take(`{"version":6,"routes":[{"prefix":"x"}]}`)
	take(``)
	g.Expect(r.reader.State.Now().Config.Version).To(gomega.Equal(site.Version(3)))
	g.Expect(r.lines("2002")).To(gomega.Equal(3))
	take(`{"version":7,"more":1}`)
	g.Expect(r.reader.State.Now().Config.Version).To(gomega.Equal(site.Version(7)))
}

// The nodes that observed that the clock of a VM was set back may have restarted since.
// Nodes that report the incarnation now do not know that it once needed confirmation.
func TestEarlierIncarnationReportedForLongIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, other := newRegistryFixture(t), newRegistryFixture(t)
		r.writes(1000, 5)
		other.end = 20
		other.snapshot(other.text(1, 8))
		r.reader.State.MergeServers(other.reader.State.Now().Servers)
		r.shows(1000)
		for range 4 {
			time.Sleep(time.Second)
			r.reader.publishServers(time.Now())
			r.shows(1000)
		}
		time.Sleep(2 * time.Second)
		r.reader.publishServers(time.Now())
		r.shows(1)
	})
}
