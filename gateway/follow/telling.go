package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// serversTeller tells other nodes the register of servers. It answers releases on
// large sites: with 20 of 720 servers replaced each second, a relay that told its 16
// followers the whole register at each change would fill a link of 20 Mbit/s. Nodes
// that have one of the latest registers are told what has changed since; the others
// get it whole and compressed. Everything is encoded once for all that get the same.
type serversTeller struct {
	mu      sync.Mutex
	latest  []toldServers // the newest last
	whole   []byte        // of the newest; nil: not encoded yet
	changes map[uint64]*bspb.ServersChange
}

// toldServers is a register that was told.
type toldServers struct {
	view.Servers
	sum uint64
}

// mostTold bounds the registers from which a change can be told: nodes ask twice a
// second, and a register that goes on changing has a new one about as often.
const mostTold = 8

// tell adds the register to a reply, for a node that asks with another one.
func (t *serversTeller) tell(reply *bspb.FollowReply, asked *bspb.FollowRequest, v *view.View) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(v)
	var err error
	for _, told := range t.latest {
		if told.sum == asked.ServersSum {
			reply.ServersChange, err = t.changeFrom(told)
			return err
		}
	}
	if t.whole == nil {
		t.whole, err = packServers(v.Servers)
	}
	reply.Servers = t.whole
	return err
}

// note takes the register that is told from now on. The lock is held.
func (t *serversTeller) note(v *view.View) {
	last := len(t.latest) - 1
	if last >= 0 && t.latest[last].Offset == v.Servers.Offset && t.latest[last].sum == v.ServersSum() {
		return
	}
	t.latest = append(t.latest, toldServers{Servers: v.Servers, sum: v.ServersSum()})
	if len(t.latest) > mostTold {
		t.latest = append([]toldServers(nil), t.latest[1:]...)
	}
	t.whole = nil
	t.changes = map[uint64]*bspb.ServersChange{}
}

// changeFrom returns what leads from a register to the newest. The lock is held.
func (t *serversTeller) changeFrom(told toldServers) (*bspb.ServersChange, error) {
	if known := t.changes[told.sum]; known != nil {
		return known, nil
	}
	newest := t.latest[len(t.latest)-1]
	change := told.ChangeTo(newest.Servers)
	message := &bspb.ServersChange{Offset: int64(newest.Offset), Sum: newest.sum}
	if len(change.Put) > 0 {
		text, err := json.Marshal(change.Put)
		if err != nil {
			return nil, err
		}
		message.Put = text
	}
	for _, id := range change.Drop {
		message.Drop = append(message.Drop, string(id))
	}
	t.changes[told.sum] = message
	return message, nil
}

// packServers encodes a whole register.
func packServers(servers view.Servers) ([]byte, error) {
	text, err := json.Marshal(servers)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpackServers decodes a whole register.
func unpackServers(packed []byte) (view.Servers, error) {
	var servers view.Servers
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return servers, err
	}
	err = json.NewDecoder(reader).Decode(&servers)
	return servers, err
}

// toldRegister returns the register that a reply tells to a node that has another
// one; found is false if it tells none, or a change of a register that the node does
// not have any more.
func toldRegister(reply *bspb.FollowReply, known *view.View) (servers view.Servers, found bool, err error) {
	if len(reply.Servers) > 0 {
		servers, err = unpackServers(reply.Servers)
		return servers, err == nil, err
	}
	message := reply.ServersChange
	if message == nil {
		return view.Servers{}, false, nil
	}
	var change view.ServersChange
	if len(message.Put) > 0 {
		if err := json.Unmarshal(message.Put, &change.Put); err != nil {
			return view.Servers{}, false, err
		}
	}
	for _, id := range message.Drop {
		change.Drop = append(change.Drop, site.ServerID(id))
	}
	servers, found = known.ServersWith(change, store.Offset(message.Offset), message.Sum)
	return servers, found, nil
}
