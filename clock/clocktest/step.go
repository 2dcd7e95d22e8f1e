// Package clocktest makes times as a process reads them after its machine's time of day has
// been set.
package clocktest

import (
	"time"
	"unsafe"
)

// layout is the memory layout of time.Time. While bit 63 of wall is set, the next 33 bits are
// the seconds of the time of day and ext is the monotonic reading.
type layout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// Step returns t with a time of day that is later by a number of seconds, which may be
// negative, and with the same monotonic reading. t must come from time.Now, outside of a
// synctest bubble, where times have no monotonic reading.
func Step(t time.Time, seconds int) time.Time {
	fields := (*layout)(unsafe.Pointer(&t))
	if fields.wall&hasMonotonic == 0 {
		panic("clocktest: the time has no monotonic reading")
	}
	fields.wall += uint64(int64(seconds) << secondsShift)
	return t
}
