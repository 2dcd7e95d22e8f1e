package follow

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// A connection that waits for configurations may stall while reads of the servers succeed.
// Followers must not treat the node as up to date then.
func TestContactAgeIsThatOfTheLessRecentTopic(t *testing.T) {
	g := gomega.NewWithT(t)
	var c Contact
	now := clock.Now()
	c.Note(store.Servers, now)
	_, known := c.Age()
	g.Expect(known).To(gomega.BeFalse())
	c.Note(store.Configurations, now.Add(-time.Minute))
	age, known := c.Age()
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(age).To(gomega.BeNumerically(">=", time.Minute))
	c.Note(store.Configurations, now.Add(-time.Hour))
	age, _ = c.Age()
	g.Expect(age).To(gomega.BeNumerically("<", time.Hour), "an older time has no effect")
}

func TestPartOfViewIsEncodedOncePerVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	var e encodedPart
	first, err := e.encode(1, "one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := e.encode(1, "not encoded")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(first))
	next, err := e.encode(2, "two")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(next)).To(gomega.Equal(`"two"`))
}
