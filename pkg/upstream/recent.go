package upstream

import (
	"math"
	"time"
)

const (
	// recentTime is for how long a sample counts: its weight falls to 1/e.
	recentTime = 2 * time.Second
	// recentLeast is the least weight of samples that makes a mean.
	recentLeast = 3
)

// recentMean is the mean of samples, of which the latest count most.
type recentMean struct {
	sum    float64
	weight float64
	at     time.Time
}

// add takes in a sample.
func (m *recentMean) add(sample float64, now time.Time) {
	decay := m.decay(now)
	m.sum = m.sum*decay + sample
	m.weight = m.weight*decay + 1
	m.at = now
}

// mean returns the mean, and whether there are enough samples for one.
func (m *recentMean) mean(now time.Time) (mean float64, known bool) {
	if m.weight*m.decay(now) < recentLeast {
		return 0, false
	}
	return m.sum / m.weight, true
}

func (m *recentMean) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(m.at)) / float64(recentTime))
}
