package canary

import (
	"math/rand/v2"
	"slices"
	"time"
)

// answer is how a server of the version handled a request.
type answer struct {
	route  string
	server uint32
	key    uint32
	hasKey bool
	known  bool
	cold   bool
	remote bool
	failed bool
	late   bool
	// bucket is the bucket of the time that the server worked; end and took are when the request
	// ended and how long it took altogether.
	bucket uint8
	end    time.Time
	took   time.Duration
}

func answerOf(s *Sample, now time.Time) answer {
	return answer{
		route: s.Route, server: serverHash(s.Server), key: uint32(s.Key >> 16), hasKey: s.Key != 0, known: s.Known, cold: s.Cold, remote: s.Remote,
		failed: s.Failed, late: isLate(s), bucket: uint8(bucketOf(workTime(s))), end: now, took: s.Took,
	}
}

func sortByEnd(list []answer) {
	slices.SortStableFunc(list, func(a, b answer) int { return a.end.Compare(b.end) })
}

// reservoir is a uniform sample of the answers since the last report: a box cannot report more.
type reservoir struct {
	list []answer
	seen int
}

func (r *reservoir) add(a answer) {
	r.seen++
	if len(r.list) < maxReported {
		r.list = append(r.list, a)
	} else if i := rand.IntN(r.seen); i < maxReported {
		r.list[i] = a
	}
}

// take returns the sample and empties it.
func (r *reservoir) take() []answer {
	list := r.list
	*r = reservoir{}
	return list
}

// usesKept is the number of keys for which a server's last uses are kept. It is small, since a server
// may forget a key after some others.
const usesKept = 12

// use is when a request for a key ended at a server for the first time.
type use struct {
	key uint32
	end time.Time
}

// uses holds the recent uses of keys by server, as all boxes have seen them.
type uses map[uint32][]use

// usedBefore reports whether a request for the answer's key had ended at its server before this one
// was sent there. A request without an answer in time counts: otherwise a version that never answers
// would never have a second use to compare.
func (u uses) usedBefore(a *answer) bool {
	sent := a.end.Add(-a.took)
	for _, one := range u[a.server] {
		if one.key == a.key {
			return one.end.Before(sent)
		}
	}
	return false
}

// add records the use, unless the request failed: then the server may not know the key.
func (u uses) add(a *answer) {
	list := u[a.server]
	if !a.hasKey || a.failed || list == nil && len(u) >= maxServers {
		return
	}
	one := use{key: a.key, end: a.end}
	if i := slices.IndexFunc(list, func(o use) bool { return o.key == a.key }); i >= 0 {
		one.end = list[i].end
		list = slices.Delete(list, i, i+1)
	}
	if len(list) >= usesKept {
		list = slices.Delete(list, 0, 1)
	}
	u[a.server] = append(list, one)
}

// forget removes the uses of a server that has lost its memory.
func (u uses) forget(server uint32) { delete(u, server) }
