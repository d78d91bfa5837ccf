package returns

import "time"

// Full is a request whose key has its home at a server that takes no more requests for now.
type Full struct {
	// RegionFill is the average fill of the servers of that region: how many of their slots are
	// taken, as a multiple of the slots.
	RegionFill float64
	// Left is the time until the request's deadline.
	Left time.Duration
}

// InShortage reports whether requests wait at most servers of the region, so that the time until
// there is room does not follow from the queue of one of them.
func (f Full) InShortage(shortageFill float64) bool { return f.RegionFill >= shortageFill }

// The bounds of a return in a shortage, as fractions of the longest time that the client waits.
const (
	earliestInShortage = 0.4
	latestInShortage   = 0.95
)

// InShortageAfter returns when the client returns in a shortage: as late as clients do, spread over
// the draw from [0, 1), so that they neither find the same queue nor return all at once. Clients
// return only once, and most of those that return to the same queue are refused again.
func (f Full) InShortageAfter(draw float64) time.Duration {
	longest := f.Left / patience
	return time.Duration((earliestInShortage + (latestInShortage-earliestInShortage)*draw) * float64(longest))
}
