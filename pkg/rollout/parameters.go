package rollout

import "github.com/stoneworks/stoneworks/pkg/canary"

// SetParameters sets how versions are judged from now on, for all current orders.
func (t *Table) SetParameters(p canary.Parameters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.orders {
		a.judge.Parameters = p
	}
}
