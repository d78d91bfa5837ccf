package canary

import (
	"math"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

const (
	// keysPerShare is how many times larger than the version's share the share of keys is from
	// which its requests are drawn. About half of the requests for these keys go to the version,
	// the others to other servers: so its servers soon know their keys, and the same keys are
	// compared on both sides.
	keysPerShare = 2
	// widening is the factor by which that share of keys grows with each request that the version
	// has missed: a route may have only a handful of keys. The same keys come first on all boxes.
	widening = 8
	// maxCredit is the number of missed requests that count.
	maxCredit = 3
	// maxDrawn bounds the routes for which requests are drawn separately.
	maxDrawn = 256
)

// Draw chooses which requests go to a version. Each route has its own credit, so that the version
// gets its share of each. The zero value is ready to use.
type Draw struct {
	mu      sync.Mutex
	credits map[string]float64
}

// Take reports whether a request on the route goes to the version, which is to get the share of all
// requests. The key is the hash of its affinity key, or a random number if it has none.
func (d *Draw) Take(route string, key uint64, share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.credits == nil || len(d.credits) >= maxDrawn {
		d.credits = map[string]float64{}
	}
	credit, ok := d.credits[route]
	if !ok {
		// Many boxes with few requests each together send the share from the beginning.
		credit = fraction(hashing.Mix(key ^ firstCredit))
	}
	credit = min(credit+share, maxCredit)
	take := share >= 1 || credit >= 1 && fraction(hashing.Mix(key^keyOrder)) < keysPerShare*share*math.Pow(widening, credit-1)
	if take {
		credit = max(0, credit-1)
	}
	d.credits[route] = credit
	return take
}

// Salts of the hashes of keys, which must not depend on each other.
const (
	firstCredit = 0x9e3779b97f4a7c15
	keyOrder    = 0xc2b2ae3d27d4eb4f
)

// fraction maps a hash to [0, 1).
func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
