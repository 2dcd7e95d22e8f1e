package serverhttp

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestProgressDetectsStallAfterLimit(t *testing.T) {
	cases := map[string]struct {
		act  func(p *progress)
		want time.Duration // time of detection, within 10 s; 0 for never
	}{
		"nothing moves": {func(*progress) {}, time.Second},
		"bytes move once": {func(p *progress) {
			time.Sleep(700 * time.Millisecond)
			p.touch()
		}, 1700 * time.Millisecond},
		"held": {func(p *progress) { p.hold() }, 0},
		"held for 3 seconds": {func(p *progress) {
			p.hold()
			time.Sleep(3 * time.Second)
			p.release()
		}, 4 * time.Second},
		"held twice, released once": {func(p *progress) {
			p.hold()
			p.hold()
			p.release()
		}, 0},
		"ended": {func(p *progress) { p.end() }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Now()
				var found []time.Duration
				p := watchProgress(time.Second, func() { found = append(found, time.Since(start)) })
				c.act(p)
				time.Sleep(10 * time.Second)
				p.end()
				synctest.Wait()
				if c.want == 0 {
					g.Expect(found).To(gomega.BeEmpty())
					return
				}
				g.Expect(found).To(gomega.Equal([]time.Duration{c.want}))
			})
		})
	}
}
