package gateway

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/transfer"
)

// connDescriptorShare is the share of the descriptors that callers' connections may take. The others are for connections to
// servers, other nodes and the store, for checks of the load balancer and for files.
const connDescriptorShare = 0.5

// Shares of the memory of the process.
const (
	// answerMemoryShare is the share that bodies of answers may take. They may take twice as much while they are read.
	answerMemoryShare = 0.25
	// largeAnswerMemoryShare is the share of the memory for answers that large answers may take, so that others still fit.
	largeAnswerMemoryShare = 0.5
	// minBodyMemoryShare is the least share for bodies of requests, on machines with little memory.
	minBodyMemoryShare = 0.25
	// smallBodyMemoryShare is the share of the memory for bodies of requests that large ones cannot take.
	smallBodyMemoryShare = 1.0 / 16
	// connMemoryShare is the share that callers' connections may take.
	connMemoryShare = 0.25
	// headMemoryShare is the share that heads of requests may take beyond what a usual one takes. Twice as much is held while
	// they are read.
	headMemoryShare = 1.0 / 16
	// connBytes is about what a caller's connection takes, in bytes: buffers, the stack of its goroutine and a usual head.
	connBytes = 32 << 10
	// ownMemory is what a process needs of the runtime's memory without requests, in bytes.
	ownMemory = 24 << 20
	// defaultMemoryMB is assumed if the memory of the process is not known, in units of 2^20 bytes.
	defaultMemoryMB = 1024
)

// bytesPerMbit is the number of bytes in 10^6 bits.
const bytesPerMbit = 1e6 / 8

// memoryBytes returns the memory of a process with the given settings.
func memoryBytes(s *config.Settings) int64 {
	if s.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return s.MemoryMB << 20
}

// answerMemory returns the bytes of answers that a process may hold.
func answerMemory(s *config.Settings) int64 {
	return int64(answerMemoryShare * float64(memoryBytes(s)))
}

// largeAnswerLimits returns the bounds of large answers for a process with the given settings, which do not change while it
// runs.
func largeAnswerLimits(s *config.Settings) transfer.Limits {
	return transfer.Limits{
		Memory: int64(largeAnswerMemoryShare * float64(answerMemory(s))),
		Link:   bytesPerMbit * s.Resources.LinkMbps,
	}
}

// bodyLimits returns the bounds of the bodies of requests. Answers are held in the same memory.
func bodyLimits(s *config.Settings) bodies.Limits {
	limit := s.MemoryLimit()
	if limit == 0 {
		limit = memoryBytes(s)
	}
	total := max(limit-ownMemory, int64(minBodyMemoryShare*float64(memoryBytes(s))))
	small := int64(smallBodyMemoryShare * float64(total))
	return bodies.Limits{Small: small, Large: total - small}
}

// callerLimitsOf returns the bounds of callers' connections.
func callerLimitsOf(s *config.Settings) callerLimits {
	conns := int64(connMemoryShare * float64(memoryBytes(s)) / connBytes)
	if descriptors := descriptorsOf(s); descriptors > 0 {
		conns = min(conns, int64(connDescriptorShare*float64(descriptors)))
	}
	return callerLimits{conns: int(conns), heads: int64(headMemoryShare * float64(memoryBytes(s)))}
}

// descriptorsOf returns the descriptors that a process may open, by the settings or by the limit of the operating system;
// 0: not known.
func descriptorsOf(s *config.Settings) int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return s.Resources.Descriptors
	}
	if s.Resources.Descriptors == 0 {
		return int64(limit.Cur)
	}
	return min(s.Resources.Descriptors, int64(limit.Cur))
}
