package gateway

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/events"
)

var eventClockStep = events.Define(2314, hclog.Warn, "time of day was set")

// clockStepInterval is how often the time of day is compared with the time that has passed.
const clockStepInterval = time.Second

// logClockSteps logs when the time of day is set, until ctx ends. No window or timeout depends on
// it, but time stamps of lines do.
func logClockSteps(ctx context.Context, logger hclog.Logger) {
	var detector clock.StepDetector
	for {
		if step := detector.Observe(clock.Now(), time.Now()); step != 0 {
			eventClockStep.Log(logger, "ahead", step.String())
		}
		if !clock.Wait(ctx, clockStepInterval) {
			return
		}
	}
}
