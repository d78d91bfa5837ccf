package backend

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// shortages tracks which priorities are short of room at one server, so that less urgent requests
// leave them some there. If it were kept for a whole service, requests would be refused at
// servers that get no more urgent requests.
type shortages struct {
	pressures map[int]*pressure
	// yields counts the requests that had to leave room.
	yields int
	// tokenYields counts the requests that had to leave the tokens of the server's rate limit.
	tokenYields int
}

// pressure is the share of a priority's requests that found their server short of room, as a
// moving average over pressureSpan.
type pressure struct {
	share float64
	at    time.Time
}

const (
	// pressureSpan is the span of the average: several service times, so that a burst counts
	// while it lasts.
	pressureSpan = time.Second
	// pressureWeight is the weight of one request in the average.
	pressureWeight = 0.1
	// fullPressure is the pressure from which on less urgent requests leave all the room between
	// YieldFill and FullFill.
	fullPressure = 0.2
	// minPressure is the share below which no priority counts as short of room.
	minPressure = 0.005
	// exemptOneIn is the number of requests that would have to leave room of which one is exempt,
	// so that no priority is served less than a third as often as more urgent ones, however long
	// the shortage lasts.
	exemptOneIn = 3
	// exemptTokenOneIn is the same for a server that has a rate limit, where the first request to
	// ask gets the available token.
	exemptTokenOneIn = 2
)

func (p *pressure) now(now time.Time) float64 {
	return p.share * math.Exp(-now.Sub(p.at).Seconds()/pressureSpan.Seconds())
}

// record records how full a request of a priority found its server.
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

// limit returns the fraction of its slots that a server may have taken to get a request of a
// priority. It is lower if more urgent requests are short of room.
func (o *shortages) limit(p *policy.Policy, priority int, now time.Time) float64 {
	pressure := o.moreUrgentPressure(priority, now)
	if pressure < minPressure {
		return p.FullFill
	}
	o.yields++
	if o.yields%exemptOneIn == 0 {
		return p.FullFill
	}
	return p.FullFill - (p.FullFill-p.YieldFill)*min(1, pressure/fullPressure)
}

// yieldsToken reports whether a request of a priority leaves the tokens of the server's rate
// limit to more urgent requests that recently found no room there.
func (o *shortages) yieldsToken(priority int, now time.Time) bool {
	if o.moreUrgentPressure(priority, now) < minPressure {
		return false
	}
	o.tokenYields++
	// The exempt requests are drawn by hash rather than by turn, since tokens and requests may
	// both arrive in a regular pattern.
	return mix(uint64(o.tokenYields))%exemptTokenOneIn != 0
}

// moreUrgentPressure returns the greatest pressure of the more urgent priorities.
func (o *shortages) moreUrgentPressure(priority int, now time.Time) float64 {
	most := 0.0
	for other, c := range o.pressures {
		if other < priority {
			most = max(most, c.now(now))
		}
	}
	return most
}
