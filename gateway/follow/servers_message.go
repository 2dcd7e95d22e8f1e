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

// serversEncoder encodes the registry of servers for other nodes. During releases on large
// sites, with 20 of 720 servers replaced each second, a relay that sent the whole registry
// to its 16 followers at each change would fill a link of 20 Mbit/s. Nodes that have one of
// the latest versions therefore receive only the changes since then; other nodes receive
// the whole registry, compressed.
type serversEncoder struct {
	recent recentVersions[serversVersion, view.Servers, *serversUpdate]
}

// serversVersion identifies a registry. Calling nodes identify it by its sum.
type serversVersion struct {
	offset store.Offset
	sum    uint64
}

// serversUpdate is an encoded registry: either a change or the whole.
type serversUpdate struct {
	change *bspb.ServersChange
	whole  []byte
}

// encode adds the registry to a reply for a node that has another version.
func (e *serversEncoder) encode(reply *bspb.FollowReply, msg *bspb.FollowRequest, v *view.View) error {
	newest := versioned[serversVersion, view.Servers]{
		version: serversVersion{offset: v.Servers.Offset, sum: v.ServersSum()},
		state:   v.Servers,
	}
	isKnown := func(version serversVersion) bool { return version.sum == msg.ServersSum }
	update, err := e.recent.message(newest, isKnown, func(base *view.Servers) (*serversUpdate, bool, error) {
		update, err := newUpdate(v, base)
		return update, true, err
	})
	if err != nil {
		return err
	}
	reply.ServersChange, reply.Servers = update.change, update.whole
	return nil
}

// newUpdate encodes the change from base to the registry of a view, or the whole registry
// if base is nil.
func newUpdate(v *view.View, base *view.Servers) (*serversUpdate, error) {
	if base == nil {
		whole, err := compressServers(v.Servers)
		return &serversUpdate{whole: whole}, err
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
	return &serversUpdate{change: message}, nil
}

// compressServers encodes and compresses a whole registry.
func compressServers(servers view.Servers) ([]byte, error) {
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

// decompressServers decompresses and decodes a whole registry.
func decompressServers(packed []byte) (view.Servers, error) {
	var servers view.Servers
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return servers, err
	}
	err = json.NewDecoder(reader).Decode(&servers)
	return servers, err
}

// decodeRegistry returns the registry of a reply for a node that has the one in known.
// found is false if the reply contains none, or a change to a registry that the node no
// longer has.
func decodeRegistry(reply *bspb.FollowReply, known *view.View) (servers view.Servers, found bool, err error) {
	if len(reply.Servers) > 0 {
		servers, err = decompressServers(reply.Servers)
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
