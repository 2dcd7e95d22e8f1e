package planner

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestRestAfterDecisionsLimitsTheirCPUShare(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(restAfter(time.Millisecond)).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(restAfter(40 * time.Millisecond)).To(gomega.Equal(4 * time.Second))
	g.Expect(restAfter(time.Second)).To(gomega.Equal(maxRest))
}
