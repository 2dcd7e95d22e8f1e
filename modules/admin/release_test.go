package admin

import (
	"runtime"
	"testing"
	"weak"

	"github.com/onsi/gomega"
)

// ended returns a reference to the part of a module that served requests and has ended.
func ended(t *testing.T) weak.Pointer[api] {
	t.Helper()
	a := &api{}
	_, err := a.handler()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return weak.Make(a)
}

// Guards against ended nodes that stay in memory until the process ends, each with all of its modules: iris keeps
// every application that it has made.
func TestEndedModuleIsReleased(t *testing.T) {
	released := ended(t)
	runtime.GC()
	gomega.NewWithT(t).Expect(released.Value()).To(gomega.BeNil())
}
