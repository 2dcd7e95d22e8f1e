package frontend

import (
	"runtime"
	"testing"
	"weak"

	"github.com/onsi/gomega"
)

// ended returns a reference to the part of a module that served requests and has ended.
func ended(t *testing.T) weak.Pointer[handler] {
	t.Helper()
	h := &handler{drain: newDrainState()}
	_, err := buildRoutes(h)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return weak.Make(h)
}

// Guards against ended nodes that stay in memory until the process ends, each with all of its modules: iris keeps
// every application that it has made.
func TestEndedModuleIsReleased(t *testing.T) {
	released := ended(t)
	runtime.GC()
	gomega.NewWithT(t).Expect(released.Value()).To(gomega.BeNil())
}
