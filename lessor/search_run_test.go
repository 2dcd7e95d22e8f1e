package lessor

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
)

// outcome is the result of a search.
type outcome struct {
	states   int
	complete bool
	depth    int
	path     []string // steps to a world with two owners; nil if there is none
}

func (o outcome) String() string {
	text := fmt.Sprintf("%d states, depth %d, complete %v", o.states, o.depth, o.complete)
	if o.path != nil {
		text += "; two owners after:\n  " + strings.Join(o.path, "\n  ")
	}
	return text
}

// trace is the path from the first world to a world, in reverse order.
type trace struct {
	previous *trace
	name     string
}

func (t *trace) names() []string {
	var names []string
	for ; t != nil && t.previous != nil; t = t.previous {
		names = append([]string{t.name}, names...)
	}
	return names
}

type frontEntry struct {
	world *world
	trace *trace
}

// gcPercent reduces the work of the garbage collector, because most of what a
// search drops is young.
const gcPercent = 400

// search visits every world within the bounds in breadth-first order, until one
// has two owners or most worlds have been visited.
func search(b bounds, most int) outcome {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	seen := map[worldKey]struct{}{}
	first := newSearchWorld(&b).takeSteps(b.prefix)
	seen[first.key()] = struct{}{}
	front := []frontEntry{{first, &trace{}}}
	result := outcome{}
	for len(front) > 0 {
		next, bad := expand(front, seen, most)
		result.depth++
		result.states = len(seen)
		if bad != nil {
			result.path = bad.names()
			return result
		}
		if len(seen) >= most {
			return result
		}
		front = next
	}
	result.complete = true
	return result
}

// takeSteps takes the named steps.
func (w *world) takeSteps(names []string) *world {
	for _, name := range names {
		steps := w.steps()
		i := slices.IndexFunc(steps, func(s step) bool { return s.name == name })
		if i < 0 {
			panic("unknown step: " + name)
		}
		w = steps[i].world
	}
	return w
}

// keyedStep is one step of an expansion and the key of its world.
type keyedStep struct {
	step
	key worldKey
}

// expand returns the successors of a front that were not visited before.
func expand(front []frontEntry, seen map[worldKey]struct{}, most int) ([]frontEntry, *trace) {
	const chunk = 256
	var next []frontEntry
	results := make([][]keyedStep, chunk)
	for start := 0; start < len(front) && len(seen) < most; start += chunk {
		part := front[start:min(start+chunk, len(front))]
		expandPart(part, results)
		for i := range part {
			for _, f := range results[i] {
				if _, known := seen[f.key]; known {
					continue
				}
				seen[f.key] = struct{}{}
				path := &trace{previous: part[i].trace, name: f.name}
				if f.world.owners() > 1 {
					return nil, path
				}
				next = append(next, frontEntry{f.world, path})
			}
			front[start+i].world = nil
		}
	}
	return next, nil
}

// expandPart computes the steps of several worlds concurrently.
func expandPart(part []frontEntry, results [][]keyedStep) {
	workers := min(2, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Go(func() {
			for i := worker; i < len(part); i += workers {
				results[i] = results[i][:0]
				for _, s := range part[i].world.steps() {
					results[i] = append(results[i], keyedStep{s, s.world.key()})
				}
			}
		})
	}
	wait.Wait()
}
