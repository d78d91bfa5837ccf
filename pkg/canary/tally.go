package canary

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// ================================================================
// What other servers do: histograms of durations by route and class
// ================================================================

const (
	// decayTime is the time constant with which counts decay exponentially: the version is
	// compared with what others do now.
	decayTime  = 4 * time.Second
	decayEvery = 100 * time.Millisecond
	// reportMaxAge is how long another box's report counts.
	reportMaxAge = 2 * time.Second
	// maxRoutes bounds the routes of a service that are counted separately, maxServers the
	// servers.
	maxRoutes  = 16
	maxServers = 1024
	// minTimed is the least number of others' answers in a class for a typical time.
	minTimed = 6
	// rareKnown is the share of requests with a known key below which keys hardly ever recur:
	// then first uses of others are such as well, and can be compared with.
	rareKnown = 0.05
	// longQueue is the fill of a server up to which a late answer is not due to its queue.
	longQueue = 1.5
	// lateShare is the share of late answers that others may have if too few are known.
	lateShare = 0.55
	// rareLate is the share of late answers for keys that are new to a box below which first uses
	// are answered in time.
	rareLate = 0.05
	// confidence is the number of standard deviations of the upper bound of a share.
	confidence = 1.6
	// leastShare is the share of bad answers that any server may have.
	leastShare = 0.012
)

// class says which requests are compared with each other.
type class uint8

const (
	keyless class = iota
	knownKey
	firstUse
	keyClasses
	remote  class = 4
	classes       = int(remote + keyClasses)
)

func classOf(hasKey, known, isRemote bool) class {
	c := keyless
	switch {
	case known:
		c = knownKey
	case hasKey:
		c = firstUse
	}
	if isRemote {
		c |= remote
	}
	return c
}

const (
	// bucketsPerOctave is the resolution of histograms; shortest is their first duration.
	bucketsPerOctave = 8
	shortest         = 250 * time.Microsecond
	buckets          = 160
)

func bucketOf(d time.Duration) int {
	return int(min(buckets-1, max(0, bucketsPerOctave*math.Log2(max(1, float64(d)/float64(shortest))))))
}

// histogram counts answers by duration, and failures separately.
type histogram struct {
	counts [buckets]float32
	total  float32
	failed float32
}

// median returns the bucket of the median.
func (h *histogram) median() int {
	below := float32(0)
	for i, count := range h.counts {
		if below += count; below*2 >= h.total {
			return i
		}
	}
	return buckets - 1
}

// above returns the number of answers from a bucket on.
func (h *histogram) above(bucket int) float64 {
	n := 0.0
	for _, count := range h.counts[bucket:] {
		n += float64(count)
	}
	return n
}

// slowFrom returns the first bucket of slow answers; the last bucket holds the late ones.
func (h *histogram) slowFrom(factor float64) int {
	return min(buckets-1, h.median()+int(math.Round(bucketsPerOctave*math.Log2(factor))))
}

// limit returns the first bucket of slow answers of requests that go farther than those of a nearer
// histogram, if any: the distance does not become longer with the work.
func (h *histogram) limit(near *histogram, factor float64) int {
	if near == nil || near.total < minTimed {
		return h.slowFrom(factor)
	}
	base := min(h.median(), near.median())
	return min(buckets-1, bucketOf(durationOf(h.median())+time.Duration((factor-1)*float64(durationOf(base)))))
}

// durationOf returns the middle of a bucket.
func durationOf(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2((float64(bucket)+0.5)/bucketsPerOctave))
}

// tally is what other servers did on a route.
type tally struct {
	classes [classes]*histogram
}

func (t *tally) class(c class) *histogram {
	if t.classes[c] == nil {
		t.classes[c] = &histogram{}
	}
	return t.classes[c]
}

// tallies is what other servers did at one box, or at all.
type tallies struct {
	at      time.Time
	routes  map[string]*tally
	servers serverRecords
	// elsewhere is the sum of what other boxes have reported of servers.
	elsewhere Health
}

func newTallies(now time.Time) *tallies {
	return &tallies{at: now, routes: map[string]*tally{}, servers: serverRecords{servers: map[uint32]*serverRecord{}}}
}

// health returns how the servers fare at this box and at those whose counts were added.
func (l *tallies) health() Health {
	h := l.servers.health()
	h.add(&l.elsewhere)
	return h
}

func (l *tallies) route(name string) *tally {
	t := l.routes[name]
	if t == nil && len(l.routes) < maxRoutes {
		t = &tally{}
		l.routes[name] = t
	}
	return t
}

// add counts a sample of another server.
func (l *tallies) add(s *Sample, slowFactor float64, now time.Time) {
	l.decay(now)
	t := l.route(s.Route)
	if t == nil {
		return
	}
	c := classOf(s.Key != 0, s.Known, s.Remote)
	h := t.class(c)
	bucket := bucketOf(workTime(s))
	late := isLate(s)
	isTimed := c&^remote != firstUse || t.isRareKnown()
	isBad := s.Failed || late || isTimed && h.total >= minTimed && bucket >= h.slowFrom(slowFactor)
	switch {
	case s.Failed:
		h.failed++
	case late:
		h.counts[buckets-1]++
		h.total++
	default:
		h.counts[bucket]++
		h.total++
	}
	l.servers.add(serverHash(s.Server), isBad, s.Failed)
}

// isLate reports whether the server did not answer in time although the request hardly waited.
func isLate(s *Sample) bool { return s.Late && s.Fill <= longQueue }

// workTime returns how long the server worked on the request, without the estimated time that it
// waited for a slot.
func workTime(s *Sample) time.Duration { return time.Duration(float64(s.Took) / max(1, s.Fill)) }

func serverHash(id string) uint32 {
	if id == "" {
		return 0
	}
	return uint32(hashing.Of(id)) | 1
}

// decay reduces the counts according to the time since the last call.
func (l *tallies) decay(now time.Time) {
	passed := now.Sub(l.at)
	if passed < decayEvery {
		return
	}
	l.at = now
	by := float32(math.Exp(-passed.Seconds() / decayTime.Seconds()))
	for _, t := range l.routes {
		for _, h := range t.classes {
			h.decay(by)
		}
	}
	l.servers.decay(passed, by)
}

func (h *histogram) decay(by float32) {
	if h == nil {
		return
	}
	h.total *= by
	h.failed *= by
	for i := range h.counts {
		h.counts[i] *= by
	}
}

// merge adds the counts of another box.
func (l *tallies) merge(o *tallies) {
	for name, t := range o.routes {
		sum := l.route(name)
		if sum == nil {
			continue
		}
		for c, h := range t.classes {
			if h != nil {
				sum.class(class(c)).merge(h)
			}
		}
	}
	health := o.health()
	l.elsewhere.add(&health)
}

func (h *histogram) merge(o *histogram) {
	h.total += o.total
	h.failed += o.failed
	for i, count := range o.counts {
		h.counts[i] += count
	}
}

// comparison is an answer of the version against what others do.
type comparison struct {
	// failedShare is the share of failures that others may have.
	failedShare float64
	// isTimed is true if the answer's time can be compared, or else countsLate if it may at least be
	// compared whether it came in time.
	isTimed, countsLate bool
	// isBad is true if the answer is bad, and share is the share of such answers that others may have.
	isBad bool
	share float64
}

// compare compares an answer of the version.
func (t *tally) compare(a *answer, known bool, slowFactor float64, r *ratios) comparison {
	isRare := t.isRareKnown()
	failed, answers := t.totals()
	c := comparison{failedShare: max(leastShare, upperShare(failed, answers))}
	h := t.counterpart(a, known, isRare)
	if h == nil {
		c.isBad, c.share = a.late || a.failed, max(c.failedShare, lateShare)
		c.countsLate = !a.remote && (!a.hasKey || known || t.isFirstUseInTime())
		return c
	}
	limit := h.slowFrom(slowFactor)
	if a.remote {
		limit = h.limit(t.classes[classOf(a.hasKey, known, false)], slowFactor)
	}
	total := float64(h.total)
	c.isTimed = true
	c.share = max(leastShare, upperShare(h.above(limit)+total*failed/max(1, answers), total))
	c.isBad = a.failed || a.late || int(a.bucket) >= limit
	if !a.failed {
		r.add(int(a.bucket) - h.median())
	}
	return c
}

// isFirstUseInTime reports whether keys that are new to a box are answered in time by others, so far as
// is known: few of them are first uses there.
func (t *tally) isFirstUseInTime() bool {
	h := t.classes[firstUse]
	return h != nil && h.total >= minTimed && upperShare(float64(h.counts[buckets-1]), float64(h.total)) < rareLate
}

// totals returns the failures and all answers on the route.
func (t *tally) totals() (failed, answers float64) {
	for _, h := range t.classes {
		if h != nil {
			failed += float64(h.failed)
			answers += float64(h.failed + h.total)
		}
	}
	return failed, answers
}

// isRareKnown reports whether keys hardly ever recur on the route.
func (t *tally) isRareKnown() bool {
	known, first := float32(0), float32(0)
	for _, distance := range []class{0, remote} {
		if h := t.classes[knownKey|distance]; h != nil {
			known += h.total
		}
		if h := t.classes[firstUse|distance]; h != nil {
			first += h.total
		}
	}
	return first > 0 && known < rareKnown*(known+first)
}

// counterpart returns the histogram of the requests that an answer can be compared with, or nil. A
// first use at the version has none where keys recur: a key that is new to a box is mostly known to
// an old server through other boxes.
func (t *tally) counterpart(a *answer, known, rare bool) *histogram {
	if a.hasKey && !known && !rare {
		return nil
	}
	h := t.classes[classOf(a.hasKey, known, a.remote)]
	if h == nil || h.total < minTimed {
		return nil
	}
	return h
}

// upperShare returns an upper confidence bound of a share (Wilson 1927).
func upperShare(hits, of float64) float64 {
	const z = confidence
	share := (hits + z*z/2 + z*math.Sqrt(max(0, hits-hits*hits/max(1, of))+z*z/4)) / (of + z*z)
	return min(1, share)
}

// ratios averages how many times longer than others the version takes, in buckets.
type ratios struct {
	sum, weight float64
}

func (r *ratios) add(difference int) {
	const weight = 0.02
	r.sum += weight * (float64(difference) - r.sum)
	r.weight += weight * (1 - r.weight)
}

func (r *ratios) typical() float64 {
	if r.weight == 0 {
		return 0
	}
	return math.Exp2(r.sum / r.weight / bucketsPerOctave)
}
