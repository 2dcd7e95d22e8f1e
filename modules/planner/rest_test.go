package planner

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestDecisionsTakeAShareOfACore(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(rest(time.Millisecond)).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(rest(40 * time.Millisecond)).To(gomega.Equal(4 * time.Second))
	g.Expect(rest(time.Second)).To(gomega.Equal(longestRest))
}
