package capacity

import (
	"bytes"
	"expvar"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

const (
	pageBytes = 4096
	// minMeasureTime is the duration for which costOf repeats the work.
	minMeasureTime = 300 * time.Millisecond
)

// processorTime returns the processor time that the operating system has accounted
// to this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the size of the reachable heap in bytes after a collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// residentSet returns the resident set size of this process in bytes, or 0 if the
// system does not report it.
func residentSet() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(string(fields[1]), 64)
	if err != nil {
		return 0
	}
	return pages * pageBytes
}

// costOf returns the mean processor time of one call of work in microseconds.
func costOf(work func()) float64 {
	work() // the first call fills caches and is not measured
	calls := 0
	began := time.Now()
	used := processorTime()
	for time.Since(began) < minMeasureTime {
		work()
		calls++
	}
	return float64((processorTime() - used).Microseconds()) / float64(calls)
}

// counter reads a number, or the sum of a map of numbers, from a package's
// expvar map.
func counter(group, name string) float64 {
	variables, ok := expvar.Get(group).(*expvar.Map)
	if !ok {
		return 0
	}
	return sum(variables.Get(name))
}

// counterOf reads one number of a map of numbers in a package's expvar map.
func counterOf(group, name, key string) float64 {
	variables, ok := expvar.Get(group).(*expvar.Map)
	if !ok {
		return 0
	}
	values, ok := variables.Get(name).(*expvar.Map)
	if !ok {
		return 0
	}
	return sum(values.Get(key))
}

func sum(v expvar.Var) float64 {
	switch value := v.(type) {
	case *expvar.Int:
		return float64(value.Value())
	case *expvar.Map:
		total := 0.0
		value.Do(func(entry expvar.KeyValue) { total += sum(entry.Value) })
		return total
	}
	return 0
}
