package router

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/retry"
	"github.com/burdockspindle/burdockspindle/topo"
)

// minRetriesPerWindow is the number of retries that a service may make in each
// window of its budget, even with few requests.
const minRetriesPerWindow = 3

// budgets holds the retry budget of each service.
type budgets struct {
	ratio float64

	mu        sync.Mutex
	byService map[topo.Service]*retry.Budget
}

func newBudgets(ratio float64) *budgets {
	return &budgets{ratio: ratio, byService: map[topo.Service]*retry.Budget{}}
}

func (b *budgets) first(service topo.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).First(now)
}

func (b *budgets) take(service topo.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(now)
}

func (b *budgets) of(service topo.Service) *retry.Budget {
	found, exists := b.byService[service]
	if !exists {
		found = retry.NewBudget(b.ratio, minRetriesPerWindow)
		b.byService[service] = found
	}
	return found
}
