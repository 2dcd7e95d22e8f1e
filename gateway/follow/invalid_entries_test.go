package follow

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Guards against a limit of log lines that begins anew whenever the time of day is set.
func TestStepsOfTheTimeOfDayDoNotRefillTheLinesOfInvalidEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	var lines bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &lines})
	var l invalidEntryLog
	start := time.Now()
	for i := range 100 {
		l.note(logger, store.Record{Key: strconv.Itoa(i), Value: []byte("?")}, nil, clocktest.Step(start, i%2))
	}
	g.Expect(bytes.Count(lines.Bytes(), []byte("\n"))).To(gomega.Equal(maxInvalidLinesPerSecond))
}
