package membership

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// WordLasts is how long a server's word counts.
const WordLasts = 3 * time.Second

// Word is what a server's lessor last learnt from the server itself.
type Word struct {
	At       time.Time // of the latest answer; the zero time for none
	Draining bool      // the server said that it is draining
	// Silent is when the server's present silence began; the zero time while it
	// answers.
	Silent time.Time
}

// Words collects what the lessors on this node learn from their servers. The
// membership module provides it; the lessor module reports to it. It is safe
// for concurrent use.
type Words struct {
	mu       sync.Mutex
	byServer map[topo.ServerID]Word
	changed  chan struct{} // size 1; tells that a word differs from the last
}

// NewWords returns an empty collection.
func NewWords() *Words {
	return &Words{byServer: map[topo.ServerID]Word{}, changed: make(chan struct{}, 1)}
}

// Heard notes an answer of a server to its lessor.
func (w *Words) Heard(id topo.ServerID, draining bool, now time.Time) {
	w.mu.Lock()
	last := w.byServer[id]
	w.byServer[id] = Word{At: now, Draining: draining}
	w.mu.Unlock()
	if last.At.IsZero() || last.Draining != draining || !last.Silent.IsZero() {
		w.tell()
	}
}

// Silent notes that a server did not answer its lessor; since is when its
// silence began.
func (w *Words) Silent(id topo.ServerID, since time.Time) {
	w.mu.Lock()
	last := w.byServer[id]
	began := last.Silent.IsZero()
	if began {
		last.Silent = since
		w.byServer[id] = last
	}
	w.mu.Unlock()
	if began {
		w.tell()
	}
}

// Forget drops what is known of a server that this node is not the lessor of.
func (w *Words) Forget(id topo.ServerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byServer, id)
}

// Changed receives after a server's word changed.
func (w *Words) Changed() <-chan struct{} { return w.changed }

// All returns a copy of every word.
func (w *Words) All() map[topo.ServerID]Word {
	w.mu.Lock()
	defer w.mu.Unlock()
	words := make(map[topo.ServerID]Word, len(w.byServer))
	for id, word := range w.byServer {
		words[id] = word
	}
	return words
}

func (w *Words) tell() {
	select {
	case w.changed <- struct{}{}:
	default: // a change is told of already
	}
}
