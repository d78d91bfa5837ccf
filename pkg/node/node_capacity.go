package node

import "github.com/stoneworks/stoneworks/pkg/settings"

// What one request costs a box. Only how boxes compare follows from these.
const (
	// requestCPU is the processor time of a request in seconds, as the
	// benchmark of test/machines measures it for a box, rounded up.
	requestCPU = 0.0005
	// requestMegabits is what a request with its answer puts on the link, in
	// and out again: about 10 kB.
	requestMegabits = 0.08
)

// capacityOf returns about how many requests a second the machine bears, 0 if
// that is not known.
func capacityOf(m settings.Machine) float64 {
	switch {
	case m.Cores <= 0:
		return m.LinkMbps / requestMegabits
	case m.LinkMbps <= 0:
		return m.Cores / requestCPU
	}
	return min(m.Cores/requestCPU, m.LinkMbps/requestMegabits)
}
