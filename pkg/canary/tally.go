package canary

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// ================================================================
// What other servers do: histograms of durations by route and class, and the share of servers that are bad
// ================================================================

const (
	// decayTime is the time constant with which counts decay exponentially: the version is
	// compared with what others do now.
	decayTime = 4 * time.Second
	// recentTime is the time constant of the recent answers.
	recentTime = 700 * time.Millisecond
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

// serverCount counts the answers of one server, or of all.
type serverCount struct {
	answers, bad float32
}

// tallies is what other servers did at one box, or at all.
type tallies struct {
	at      time.Time
	routes  map[string]*tally
	servers map[uint32]*serverCount
	// serverSum and badServers are the sums over boxes of the number of servers that answered
	// and of their shares of bad answers.
	serverSum  float64
	badServers float64
	// brokenSum is the sum over boxes of the number of servers with mostly bad answers.
	brokenSum float64
	// recent counts the answers of about the last second on all routes: the larger counts follow
	// a sudden change too slowly.
	recent serverCount
}

func newTallies(now time.Time) *tallies {
	return &tallies{at: now, routes: map[string]*tally{}, servers: map[uint32]*serverCount{}}
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
	isBad := s.Failed || late || c&^remote != firstUse && h.total >= minTimed && bucket >= h.slowFrom(slowFactor)
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
	l.recent.add(isBad)
	l.countServer(serverHash(s.Server), isBad)
}

func (l *tallies) countServer(server uint32, isBad bool) {
	c := l.servers[server]
	if c == nil {
		if len(l.servers) >= maxServers {
			return
		}
		c = &serverCount{}
		l.servers[server] = c
	}
	c.add(isBad)
}

func (c *serverCount) add(isBad bool) {
	c.answers++
	if isBad {
		c.bad++
	}
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
	quickly := float32(math.Exp(-passed.Seconds() / recentTime.Seconds()))
	l.recent.answers *= quickly
	l.recent.bad *= quickly
	by := float32(math.Exp(-passed.Seconds() / decayTime.Seconds()))
	for _, t := range l.routes {
		for _, h := range t.classes {
			h.decay(by)
		}
	}
	for server, c := range l.servers {
		c.answers *= by
		c.bad *= by
		if c.answers < 0.1 {
			delete(l.servers, server)
		}
	}
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

// sumServers returns the number of servers that answered this box, the sum of their shares of bad
// answers, and the number of those with mostly bad answers.
func (l *tallies) sumServers() (servers, bad, broken float64) {
	servers, bad, broken = l.serverSum, l.badServers, l.brokenSum
	for _, c := range l.servers {
		servers++
		bad += float64(c.bad / c.answers)
		if c.answers > 1.2 && c.bad > c.answers/2 {
			broken++
		}
	}
	return servers, bad, broken
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
	servers, bad, broken := o.sumServers()
	l.brokenSum += broken
	l.serverSum += servers
	l.badServers += bad
	l.recent.answers += o.recent.answers
	l.recent.bad += o.recent.bad
}

func (h *histogram) merge(o *histogram) {
	h.total += o.total
	h.failed += o.failed
	for i, count := range o.counts {
		h.counts[i] += count
	}
}

// currentShare returns the share of bad answers of other servers, each server counted alike, or of
// their recent answers if that is larger. The first exceeds the share of all answers where bad servers
// are avoided, as those of the version cannot be before enough is known of each.
// Where some servers are broken, among as few as those of the version by chance more could be.
func (l *tallies) currentShare(servers int) float64 {
	share := 0.0
	if l.serverSum >= minTimed {
		broken := l.brokenSum / l.serverSum
		share = l.badServers/l.serverSum + confidence*math.Sqrt(broken*(1-broken)/float64(max(1, servers)))
	}
	if l.recent.answers >= minTimed {
		share = max(share, float64(l.recent.bad/l.recent.answers))
	}
	return share
}

// compare reports whether an answer of the version is bad, whether its time was compared, and the share of bad answers that others
// may have. It reports false if there is nothing to compare with.
func (t *tally) compare(a *answer, known bool, slowFactor float64, r *ratios) (isBad, isTimed bool, share float64, ok bool) {
	failed, answers, knownAnswers, keyed := t.totals()
	share = max(leastShare, upperShare(failed, answers))
	h := t.counterpart(a, known, keyed > 0 && knownAnswers/keyed < rareKnown)
	switch {
	case h == nil && a.late:
		return true, false, max(share, lateShare), !a.remote && (!a.hasKey || known || t.isFirstUseInTime())
	case h == nil:
		return a.failed, false, share, a.failed || answers >= minTimed
	}
	limit := h.slowFrom(slowFactor)
	if a.remote {
		limit = h.limit(t.classes[classOf(a.hasKey, known, false)], slowFactor)
	}
	total := float64(h.total)
	share = max(leastShare, upperShare(h.above(limit)+total*failed/max(1, answers), total))
	if a.failed {
		return true, true, share, true
	}
	r.add(int(a.bucket) - h.median())
	return a.late || int(a.bucket) >= limit, true, share, true
}

// isFirstUseInTime reports whether keys that are new to a box are answered in time by others, so far as
// is known: few of them are first uses there.
func (t *tally) isFirstUseInTime() bool {
	h := t.classes[firstUse]
	return h != nil && h.total >= minTimed && upperShare(float64(h.counts[buckets-1]), float64(h.total)) < rareLate
}

// totals returns the failures and answers on the route, and of these the ones with known keys and
// with any.
func (t *tally) totals() (failed, answers, known, keyed float64) {
	for c, h := range t.classes {
		if h == nil {
			continue
		}
		failed += float64(h.failed)
		answers += float64(h.failed + h.total)
		switch class(c) &^ remote {
		case knownKey:
			known += float64(h.total)
			keyed += float64(h.total)
		case firstUse:
			keyed += float64(h.total)
		}
	}
	return failed, answers, known, keyed
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
