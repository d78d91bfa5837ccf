package entry

import "sync"

// Parameters of the retry budget.
const (
	// retryShare is the number of retries that each success adds to the budget.
	retryShare = 0.2
	// retryReserve is the number of retries that a service may make without any
	// success, and the maximum of its budget.
	retryReserve = 20
)

// Budget limits the retries of each service to a fraction of its successes, so
// that retries do not add load to a failing service.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget in which each service has its full reserve.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// Success adds retryShare to the service's budget.
func (b *Budget) Success(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokensOf(service)+retryShare, retryReserve)
}

// Take reports whether a retry may be made, and deducts it from the budget if so.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.tokensOf(service)
	if n < 1 {
		return false
	}
	b.tokens[service] = n - 1
	return true
}

func (b *Budget) tokensOf(service string) float64 {
	if n, ok := b.tokens[service]; ok {
		return n
	}
	return retryReserve
}
