package membership_test

import (
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func removeNode(node state.Node) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: &bspb.RemoveNode{
		Node: string(node.ID), Boot: string(node.Boot),
	}}}
}
