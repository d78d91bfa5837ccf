package node

import "github.com/stoneworks/stoneworks/pkg/settings"

// The cost of one request to a box. These values only serve to compare boxes with each other.
const (
	// requestCPU is the processor time of a request in seconds, rounded up; the benchmark of
	// test/machines measures it.
	requestCPU = 0.0005
	// requestMegabits is the traffic of a request and its response on the link, in and out
	// again, in megabits: about 10 kB.
	requestMegabits = 0.08
)

// capacityOf returns about how many requests per second the machine can handle, or 0 if that is
// not known.
func capacityOf(m settings.Machine) float64 {
	switch {
	case m.Cores <= 0:
		return m.LinkMbps / requestMegabits
	case m.LinkMbps <= 0:
		return m.Cores / requestCPU
	}
	return min(m.Cores/requestCPU, m.LinkMbps/requestMegabits)
}
