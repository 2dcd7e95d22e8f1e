package lessor

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Messages to a node whose lessor module had stopped waited until their deadline,
// because no worker handled them.
func TestMessagesToAStoppedModuleAreRefusedAtOnce(t *testing.T) {
	run(t, oneZone, 2, defaultLimit, func(w *world, g *WithT) {
		n := w.standby("a/0")
		g.Expect(n.module.Stop(context.Background())).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		calls := map[string]func() error{
			"heartbeat": func() error {
				_, err := n.handlers.Heartbeat(ctx, &bspb.HeartbeatRequest{Group: "a/0"})
				return err
			},
			"move": func() error {
				_, err := n.handlers.Move(ctx, &bspb.MoveRequest{Group: "a/0"})
				return err
			},
		}
		for name, call := range calls {
			began := time.Now()
			var stopping *StoppingError
			g.Expect(errors.As(call(), &stopping)).To(BeTrue(), name)
			g.Expect(time.Since(began)).To(BeZero(), name)
		}
	})
}
