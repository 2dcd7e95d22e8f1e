package experiment

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// progress shows the progress of a scenario's runs on a terminal. A nil
// progress shows nothing.
type progress struct {
	out io.Writer

	mu       sync.Mutex
	scenario string
	runs     int
	elapsed  time.Duration // sum over all runs
	total    time.Duration
}

// newProgress returns a progress if out is a terminal, otherwise nil.
func newProgress(out io.Writer) *progress {
	file, isFile := out.(*os.File)
	if !isFile {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return &progress{out: out}
}

// add adds one run of a scenario and returns the function that reports its
// progress; nil if progress is not shown.
func (p *progress) add(scenario string, whole time.Duration) func(elapsed, whole time.Duration) {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scenario = scenario
	p.runs++
	p.total += whole
	last := time.Duration(0)
	return func(elapsed, _ time.Duration) {
		p.advance(elapsed - last)
		last = elapsed
	}
}

func (p *progress) advance(step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.elapsed += step
	_, _ = fmt.Fprintf(p.out, "\r%-20s %2d runs %3d %%", p.scenario, p.runs, 100*p.elapsed/p.total)
}

// done clears the line when a scenario's runs have ended.
func (p *progress) done() {
	if p == nil {
		return
	}
	_, _ = fmt.Fprint(p.out, "\r\033[K")
	p.runs, p.elapsed, p.total = 0, 0, 0
}
