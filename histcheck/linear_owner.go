package histcheck

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ownerOperation is one committed run: the server used its ownership of
// the key at some moment between the run's start and its end.
type ownerOperation struct {
	key    serviceKey
	server topo.ServerID
	boot   topo.BootID
	fence  topo.Fence
}

// LinearizableOwnership checks that the committed runs of each key can be
// ordered so that ownership passes only to higher fences, each of which
// belongs to one incarnation of one server.
func LinearizableOwnership(events []history.Event, limit time.Duration) Result {
	var operations []porcupine.Operation
	for _, r := range collectRuns(events) {
		if !r.committed() || r.began.Shard == (topo.ShardID{}) {
			continue
		}
		operations = append(operations, porcupine.Operation{
			Input: ownerOperation{
				key:    serviceKey{r.began.Service, r.began.Key},
				server: r.began.Server,
				boot:   r.began.Boot,
				fence:  r.began.Fence,
			},
			Call:   int64(r.began.At),
			Return: int64(r.ended.At),
		})
	}
	return search(ownerModel(), operations, limit)
}

// ownerModel holds the latest use of the ownership of one key.
func ownerModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(input any) serviceKey { return input.(ownerOperation).key }),
		Init:      func() any { return ownerOperation{} },
		Step: func(state, input, _ any) (bool, any) {
			current, next := state.(ownerOperation), input.(ownerOperation)
			if next.fence == current.fence {
				return next == current, next
			}
			return current.fence.Less(next.fence), next
		},
	}
}
