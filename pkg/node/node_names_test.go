package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/test/heap"
)

// TestMetricsOfServicesAreBounded guards against metrics that grow with every service that any
// configuration has had: 2,000 of them took 37 MB.
func TestMetricsOfServicesAreBounded(t *testing.T) {
	is := is.New(t)
	n := &Node{Metrics: metrics.NewRegistry()}
	t.Cleanup(n.Metrics.UnregisterAll)
	before := heap.Live()
	for i := range 2000 {
		for range 1100 {
			n.observeRequest(fmt.Sprint("service-", i), time.Millisecond)
		}
	}
	grown := heap.Live() - before
	t.Logf("the heap grew by %d kB", grown>>10)
	is.True(grown < 4<<20)
	is.Equal(metrics.GetOrRegisterTimer("request.service-7", n.Metrics).Count(), int64(1100))
	is.Equal(metrics.GetOrRegisterTimer("request.others", n.Metrics).Count(), int64(1900*1100))
}
