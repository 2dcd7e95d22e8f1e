package admin

import (
	"runtime"
	"testing"
	"weak"

	"github.com/onsi/gomega"
)

// Guards against ended nodes that stay in memory until the process ends, each with all of its modules: iris keeps
// every application that it has made.
func TestEndedModuleIsReleased(t *testing.T) {
	a := &api{}
	_, err := a.handler()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	released := weak.Make(a)
	a = nil
	runtime.GC()
	gomega.NewWithT(t).Expect(released.Value()).To(gomega.BeNil())
}
