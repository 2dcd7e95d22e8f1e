package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// serversTeller tells other nodes the register of servers. It answers releases on
// large sites: with 20 of 720 servers replaced each second, a relay that told its 16
// followers the whole register at each change would fill a link of 20 Mbit/s. Nodes
// that have one of the latest registers are told what has changed since; the others
// get it whole and compressed.
type serversTeller struct {
	recent recent[serversVersion, view.Servers, *serversNews]
}

// serversVersion names a register. Nodes that ask name it by its sum.
type serversVersion struct {
	offset store.Offset
	sum    uint64
}

// serversNews is a register as it is told: what has changed, or the whole.
type serversNews struct {
	change *bspb.ServersChange
	whole  []byte
}

// tell adds the register to a reply, for a node that asks with another one.
func (t *serversTeller) tell(reply *bspb.FollowReply, asked *bspb.FollowRequest, v *view.View) error {
	newest := versioned[serversVersion, view.Servers]{
		version: serversVersion{offset: v.Servers.Offset, sum: v.ServersSum()},
		state:   v.Servers,
	}
	isKnown := func(version serversVersion) bool { return version.sum == asked.ServersSum }
	news, err := t.recent.tell(newest, isKnown, func(base *view.Servers) (*serversNews, bool, error) {
		news, err := newsOf(v, base)
		return news, true, err
	})
	if err != nil {
		return err
	}
	reply.ServersChange, reply.Servers = news.change, news.whole
	return nil
}

// newsOf makes what leads from a register to that of a view; from nothing if it is nil.
func newsOf(v *view.View, base *view.Servers) (*serversNews, error) {
	if base == nil {
		whole, err := packServers(v.Servers)
		return &serversNews{whole: whole}, err
	}
	change := base.ChangeTo(v.Servers)
	message := &bspb.ServersChange{Offset: int64(v.Servers.Offset), Sum: v.ServersSum()}
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
	return &serversNews{change: message}, nil
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
