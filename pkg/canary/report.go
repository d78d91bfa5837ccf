package canary

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// maxReport is the number of bytes of routes, answers and histograms in a report: with what is
	// round them it fits into a datagram of 1,200 bytes.
	maxReport = 1000
	// routeBytes is what a route adds besides its name.
	routeBytes = 6
	// maxReported is the number of the version's answers in a report.
	maxReported = 30
	// answerBytes is the length of an answer in a report.
	answerBytes = 15
	// countScale is the resolution of counts in a report.
	countScale = 4
	// tick is the resolution of times in a report.
	tick = time.Millisecond
)

// Comparison is what other servers did on a route.
type Comparison struct {
	Route string
	// Others holds histograms, each as its class, the failures, the number of buckets, and each
	// bucket with its count.
	Others []byte
}

// Report is what a box has seen.
type Report struct {
	Comparisons []Comparison
	// Answers holds answers of the version of answerBytes each; a route is its index above.
	Answers []byte
	Health  Health
}

// The flags of an answer in a report.
const (
	flagKey = 1 << iota
	flagKnown
	flagCold
	flagRemote
	flagFailed
	flagLate
)

// encoder builds a report of bounded length.
type encoder struct {
	Report
	index map[string]int
	// room is the number of bytes that are left.
	room int
}

func encodeReport(l *tallies, answers []answer, now time.Time) Report {
	e := encoder{Report: Report{Health: l.health()}, index: map[string]int{}, room: maxReport}
	for i := range answers {
		e.addAnswer(&answers[i], now)
	}
	e.addHistograms(l)
	return e.Report
}

// take reports whether there is room for that many bytes on the route, which is added if needed, and
// returns its index.
func (e *encoder) take(route string, length int) (i int, ok bool) {
	i, ok = e.index[route]
	if !ok {
		i = len(e.Comparisons)
		length += len(route) + routeBytes
	}
	if length > e.room || i >= maxRoutes {
		return 0, false
	}
	if !ok {
		e.index[route] = i
		e.Comparisons = append(e.Comparisons, Comparison{Route: route})
	}
	e.room -= length
	return i, true
}

func (e *encoder) addAnswer(a *answer, now time.Time) {
	route, ok := e.take(a.route, answerBytes)
	if !ok {
		return
	}
	flags := byte(0)
	for i, set := range []bool{a.hasKey, a.known, a.cold, a.remote, a.failed, a.late} {
		if set {
			flags |= 1 << i
		}
	}
	b := append(e.Answers, byte(route), flags, a.bucket)
	b = binary.BigEndian.AppendUint32(b, a.server)
	b = binary.BigEndian.AppendUint32(b, a.key)
	b = binary.BigEndian.AppendUint16(b, ticks(now.Sub(a.end)))
	e.Answers = binary.BigEndian.AppendUint16(b, ticks(a.took))
}

func ticks(d time.Duration) uint16 { return uint16(min(math.MaxUint16, max(0, d/tick))) }

// addHistograms adds the histograms with the most answers for which there is room.
func (e *encoder) addHistograms(l *tallies) {
	type entry struct {
		route string
		class class
		*histogram
	}
	var list []entry
	for name, t := range l.routes {
		for c, h := range t.classes {
			if h != nil && (h.total+h.failed)*countScale >= 1 {
				list = append(list, entry{name, class(c), h})
			}
		}
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(b.total+b.failed, a.total+a.failed) })
	for _, one := range list {
		encoded := one.encode(one.class)
		if i, ok := e.take(one.route, len(encoded)); ok {
			e.Comparisons[i].Others = append(e.Comparisons[i].Others, encoded...)
		}
	}
}

func (h *histogram) encode(c class) []byte {
	var pairs []byte
	count := 0
	for i, n := range h.counts {
		if scaled := uint64(n*countScale + 0.5); scaled > 0 {
			pairs = binary.AppendUvarint(append(pairs, byte(i)), scaled)
			count++
		}
	}
	b := binary.AppendUvarint([]byte{byte(c)}, uint64(h.failed*countScale+0.5))
	return append(append(b, byte(count)), pairs...)
}

// addTo adds what the report says of other servers. What is malformed is left out.
func (r *Report) addTo(sum *tallies) {
	sum.elsewhere.add(&r.Health)
	for i := range r.Comparisons {
		if t := sum.route(r.Comparisons[i].Route); t != nil {
			t.addEncoded(r.Comparisons[i].Others)
		}
	}
}

// answers returns the version's answers in the report. What is malformed is left out.
func (r *Report) answers(now time.Time) (list []answer) {
	for b := r.Answers; len(b) >= answerBytes; b = b[answerBytes:] {
		if int(b[0]) < len(r.Comparisons) {
			list = append(list, decodeAnswer(b, r.Comparisons[b[0]].Route, now))
		}
	}
	return list
}

func decodeAnswer(b []byte, route string, now time.Time) answer {
	flags := b[1]
	return answer{
		route: route, hasKey: flags&flagKey != 0, known: flags&flagKnown != 0, cold: flags&flagCold != 0, remote: flags&flagRemote != 0,
		failed: flags&flagFailed != 0, late: flags&flagLate != 0, bucket: b[2],
		server: binary.BigEndian.Uint32(b[3:]), key: binary.BigEndian.Uint32(b[7:]),
		end: now.Add(-time.Duration(binary.BigEndian.Uint16(b[11:])) * tick), took: time.Duration(binary.BigEndian.Uint16(b[13:])) * tick,
	}
}

// addEncoded adds histograms; see Comparison.
func (t *tally) addEncoded(b []byte) {
	for len(b) >= 3 {
		c := class(b[0])
		failed, n := binary.Uvarint(b[1:])
		if int(c) >= classes || n <= 0 || len(b) < 2+n {
			return
		}
		pairs := int(b[1+n])
		b = b[2+n:]
		h := t.class(c)
		h.failed += float32(failed) / countScale
		for range pairs {
			if len(b) < 2 || b[0] >= buckets {
				return
			}
			bucket := b[0]
			count, n := binary.Uvarint(b[1:])
			if n <= 0 {
				return
			}
			h.counts[bucket] += float32(count) / countScale
			h.total += float32(count) / countScale
			b = b[1+n:]
		}
	}
}
