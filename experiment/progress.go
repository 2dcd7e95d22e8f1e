package experiment

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// progress shows on a terminal how far the runs of a scenario are. The nil
// progress shows nothing.
type progress struct {
	out io.Writer

	mu       sync.Mutex
	scenario string
	runs     int
	elapsed  time.Duration // of all runs together
	whole    time.Duration
}

// newProgress returns a progress on a terminal, and nil on anything else.
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

// add counts one more run of a scenario and returns the function to tell about
// it; nil for none.
func (p *progress) add(scenario string, whole time.Duration) func(elapsed, whole time.Duration) {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scenario = scenario
	p.runs++
	p.whole += whole
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
	_, _ = fmt.Fprintf(p.out, "\r%-20s %2d runs %3d %%", p.scenario, p.runs, 100*p.elapsed/p.whole)
}

// done clears the line when a scenario's runs have ended.
func (p *progress) done() {
	if p == nil {
		return
	}
	_, _ = fmt.Fprint(p.out, "\r\033[K")
	p.runs, p.elapsed, p.whole = 0, 0, 0
}
