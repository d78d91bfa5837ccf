package backend

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// shortages knows which priorities are short of room at a server, so that less urgent requests
// leave them some there. It is known for each server: for a whole service, requests would be
// refused at servers that nobody more urgent asks.
type shortages struct {
	pressures map[int]*pressure
	// yields counts the requests that were to leave room.
	yields int
	// tokenYields counts those that were to leave what the server takes by its limit.
	tokenYields int
}

// pressure is the share of a priority's requests that found their server short of room: a
// moving average over pressureSpan.
type pressure struct {
	share float64
	at    time.Time
}

const (
	// pressureSpan is the span of the average: some service times, so that a burst counts
	// while it lasts.
	pressureSpan = time.Second
	// pressureWeight is the weight of one request.
	pressureWeight = 0.1
	// fullPressure is from which share on less urgent requests leave all the room that they
	// are to leave.
	fullPressure = 0.2
	// minPressure is below what nobody is short.
	minPressure = 0.005
	// exemptOneIn: of the requests that are to leave room one in so many is not, so that no
	// kind is served less than a third as often as more urgent ones, however long the
	// shortage lasts.
	exemptOneIn = 3
	// exemptTokenOneIn is the same at a server that names a limit, of which the first to ask gets
	// what there is.
	exemptTokenOneIn = 2
)

func (c *pressure) now(now time.Time) float64 {
	return c.share * math.Exp(-now.Sub(c.at).Seconds()/pressureSpan.Seconds())
}

// record notes how full a request of a priority found its server.
func (o *shortages) record(p *policy.Policy, priority int, fill float64, now time.Time) {
	if o.pressures == nil {
		o.pressures = map[int]*pressure{}
	}
	c := o.pressures[priority]
	if c == nil {
		c = &pressure{at: now}
		o.pressures[priority] = c
	}
	sample := 0.0
	if fill >= p.ShortFill {
		sample = 1
	}
	before := c.now(now)
	c.share, c.at = before+pressureWeight*(sample-before), now
}

// limit is how much of its slots a server may have taken to be given a request of a
// priority: less where more urgent ones are short of room.
func (o *shortages) limit(p *policy.Policy, priority int, now time.Time) float64 {
	most := o.moreUrgentPressure(priority, now)
	if most < minPressure {
		return p.FullFill
	}
	o.yields++
	if o.yields%exemptOneIn == 0 {
		return p.FullFill
	}
	return p.FullFill - (p.FullFill-p.YieldFill)*min(1, most/fullPressure)
}

// yieldsToken reports whether a request of a priority leaves what the server takes by its limit to
// more urgent ones, which lately found no room there.
func (o *shortages) yieldsToken(priority int, now time.Time) bool {
	if o.moreUrgentPressure(priority, now) < minPressure {
		return false
	}
	o.tokenYields++
	// Drawn, and not in turn: tokens and requests may both come in turn.
	return mix(uint64(o.tokenYields))%exemptTokenOneIn != 0
}

// moreUrgentPressure is the greatest share of a more urgent priority's requests that found no room.
func (o *shortages) moreUrgentPressure(priority int, now time.Time) float64 {
	most := 0.0
	for other, c := range o.pressures {
		if other < priority {
			most = max(most, c.now(now))
		}
	}
	return most
}
