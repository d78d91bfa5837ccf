package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

const (
	// countFades is the time constant with which counts of requests decay exponentially.
	countFades = 4 * time.Second
	// reportMaxAge is how long another box's report counts.
	reportMaxAge = 2 * time.Second
	// enoughAnswers is the number of recent answers of a version that always suffices for the
	// next step, and expectedShare the fraction that suffices of what the version's share of all
	// requests would have brought.
	enoughAnswers = 30
	expectedShare = 1.0 / 3
	// maxLoadBytes is the number of bytes of a report that regions take, loadBytes what one adds besides its
	// name. With what canary.Report may take, a report fits into a datagram of 1,200 bytes.
	maxLoadBytes = 80
	loadBytes    = 6
)

// Count counts recent requests to a service that is being moved.
type Count struct {
	// Requests is the number of requests to servers of all versions, and Answers the number of
	// answers of servers of the new version.
	Requests float32
	Answers  float32
}

func (c *Count) add(o Count) {
	c.Requests += o.Requests
	c.Answers += o.Answers
}

// evidence counts the requests that this box has sent, and those that other boxes report.
type evidence struct {
	own     Count
	at      time.Time
	reports map[string]countReport
	// mostPerSecond is the largest rate of requests that was seen, in requests a second.
	mostPerSecond float64
	// answered is true once any answer of the version was seen.
	answered bool
}

type countReport struct {
	Count
	load map[string]float32
	at   time.Time
}

func newEvidence(now time.Time) evidence {
	return evidence{at: now, reports: map[string]countReport{}}
}

func (e *evidence) decay(now time.Time) {
	by := float32(math.Exp(-now.Sub(e.at).Seconds() / countFades.Seconds()))
	e.at = now
	e.own.Requests *= by
	e.own.Answers *= by
}

func (e *evidence) observe(s *canary.Sample, now time.Time) {
	e.decay(now)
	e.own.Requests++
	if s.IsNew && !s.Late {
		e.own.Answers++
		e.answered = true
	}
}

// total returns the sum over all boxes.
func (e *evidence) total(now time.Time) Count {
	e.decay(now)
	maps.DeleteFunc(e.reports, func(_ string, r countReport) bool { return now.Sub(r.at) > reportMaxAge })
	sum := e.own
	for _, r := range e.reports {
		sum.add(r.Count)
	}
	e.mostPerSecond = max(e.mostPerSecond, float64(sum.Requests)/countFades.Seconds())
	return sum
}

// addLoad adds the requests of other boxes to those of this one.
func (e *evidence) addLoad(regions []RegionRoom, now time.Time) {
	count := e.total(now)
	for i := range regions {
		r := &regions[i]
		r.KnowsLoad = count.Requests >= enoughAnswers
		for _, report := range e.reports {
			r.Load += float64(report.load[r.Region])
		}
	}
}

// needed returns how many answers the version must have given recently at the share.
func (c *Count) needed(share float64) float64 {
	return min(enoughAnswers, math.Floor(expectedShare*share*float64(c.Requests)))
}

// Observe counts how a server of the service, which runs the given version, handled a request. It
// does nothing unless the service is being moved.
func (t *Table) Observe(service, version string, s canary.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[service]
	if a == nil || a.progress.Final != "" {
		return
	}
	s.IsNew = version == a.Version
	a.judge.Observe(&s, t.Now())
	a.evidence.observe(&s, t.Now())
}

// ----------------------------------------------------------------
// Reports between boxes
// ----------------------------------------------------------------

// Report is what a box has counted for a service that is being moved.
type Report struct {
	Box     string
	Service string
	// Given identifies the order; see Order.
	Given uint64
	Count Count
	// Load is the number of requests that the box has at the service's servers, by region.
	Load   map[string]float32
	Canary canary.Report
}

// Wire encodes and decodes reports.
var Wire = packet.Codec[Report]{Kind: "rollout reports", FirstByte: 0xf9}

// Reports returns this box's reports for the boxes that judge versions; see View.Room.
func (t *Table) Reports(room func(service, version string) []RegionRoom) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for service, a := range t.orders {
		if a.progress.Final != "" {
			continue
		}
		a.evidence.decay(t.Now())
		if r := a.judge.Report(t.Now()); len(r.Comparisons) > 0 {
			list = append(list, Report{
				Box: t.Box, Service: service, Given: a.Given, Count: a.evidence.own, Load: loadOf(room(service, a.Version)), Canary: r,
			})
		}
	}
	return list
}

// loadOf returns the requests at servers by region, of those with the most as far as there is room in
// a report.
func loadOf(regions []RegionRoom) map[string]float32 {
	byLoad := slices.SortedFunc(slices.Values(regions), func(a, b RegionRoom) int { return cmp.Compare(b.Load, a.Load) })
	load, room := map[string]float32{}, maxLoadBytes
	for i := range byLoad {
		r := &byLoad[i]
		if room -= len(r.Region) + loadBytes; r.Load <= 0 || room < 0 {
			break
		}
		load[r.Region] = float32(r.Load)
	}
	return load
}

// isValid reports whether all counts are such as a box can have counted.
func (r *Report) isValid() bool {
	counts := slices.Collect(maps.Values(r.Load))
	h := &r.Canary.Health
	counts = append(counts, r.Count.Requests, r.Count.Answers, h.Servers, h.BadShares, h.Broken, h.Answers, h.Bad, h.Failed)
	return !slices.ContainsFunc(counts, func(v float32) bool { return !(v >= 0 && v <= math.MaxFloat32) })
}

// MalformedReportError reports that a box has reported counts that cannot be ones.
type MalformedReportError struct{ Box, Service string }

// Error implements error.
func (e *MalformedReportError) Error() string {
	return fmt.Sprintf("rollout: the report of box %q for service %q has counts that are negative or not numbers", e.Box, e.Service)
}

// AddReport stores another box's report, unless it is about another order than the current one. The
// error is a *MalformedReportError.
func (t *Table) AddReport(r *Report) error {
	if !r.isValid() {
		return &MalformedReportError{Box: r.Box, Service: r.Service}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[r.Service]
	if a == nil || a.Given != r.Given || r.Box == t.Box {
		return nil
	}
	a.judge.AddReport(r.Box, r.Canary, t.Now())
	a.evidence.reports[r.Box] = countReport{Count: r.Count, load: r.Load, at: t.Now()}
	a.evidence.answered = a.evidence.answered || r.Count.Answers > 0
	return nil
}
