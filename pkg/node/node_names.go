package node

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxOwnMetrics bounds the names of a family that have a metric of their own.
const maxOwnMetrics = 100

// otherNames is the name under which all further ones are counted.
const otherNames = "others"

// metricNames are the names of a family of metrics, which others choose: customers, services. The
// first maxOwnMetrics have a metric of their own. A metric is never dropped, and a timer takes some
// 20 kB.
type metricNames struct {
	mu  sync.Mutex
	own map[string]bool
}

// of returns the metric for a name, given the start of the names of the family.
func (m *metricNames) of(family, name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.own[name] {
		if len(m.own) >= maxOwnMetrics {
			return family + otherNames
		}
		if m.own == nil {
			m.own = map[string]bool{}
		}
		m.own[name] = true
	}
	return family + name
}

// observeRequest records the duration of a request to a service.
func (n *Node) observeRequest(service string, d time.Duration) {
	metrics.GetOrRegisterTimer(n.timed.of("request.", service), n.Metrics).Update(d)
}
