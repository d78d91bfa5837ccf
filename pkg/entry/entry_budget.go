package entry

import "sync"

// Tuning of the retry budget.
const (
	// retryShare is how many retries each success pays for.
	retryShare = 0.2
	// retryReserve is how many retries may be made without successes.
	retryReserve = 20
)

// Budget bounds the retries of each service to a share of its successes, so
// that a service in trouble is not sent still more work.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget makes a budget in which each service has its whole reserve.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// Success pays in.
func (b *Budget) Success(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.of(service)+retryShare, retryReserve)
}

// Take reports whether a retry may be made, and pays for it.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.of(service)
	if n < 1 {
		return false
	}
	b.tokens[service] = n - 1
	return true
}

func (b *Budget) of(service string) float64 {
	if n, ok := b.tokens[service]; ok {
		return n
	}
	return retryReserve
}
