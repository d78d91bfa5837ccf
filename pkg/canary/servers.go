package canary

import (
	"math"
	"time"
)

// ================================================================
// How many of the other servers are bad, and what they did a moment ago
// ================================================================

const (
	// recentTime is the time constant of the counts of recent answers.
	recentTime = 700 * time.Millisecond
	// newAnswer is the weight of a new answer in the average of a server.
	newAnswer = 0.4
	// fewAnswers and leastAnswers are the decaying counts of a server's answers from which on it
	// can be called broken, and below which it is forgotten.
	fewAnswers   = 1.2
	leastAnswers = 0.1
	// brokenConfidence is the number of standard deviations of the share of broken servers.
	brokenConfidence = 3
	// chanceBroken is the share of servers that seem broken by a few failures in a row.
	chanceBroken = 0.03
)

// Health describes the servers other than those of the version, without their routes.
type Health struct {
	// Servers is the number of servers that have answered, each counted by each box, BadShares the
	// sum of their shares of bad answers, and Broken the number of those with mostly bad ones.
	Servers   float32
	BadShares float32
	Broken    float32
	// Answers, Bad and Failed count the answers of about the last second: longer counts follow a
	// sudden change too slowly.
	Answers float32
	Bad     float32
	Failed  float32
}

func (h *Health) add(o *Health) {
	h.Servers += o.Servers
	h.BadShares += o.BadShares
	h.Broken += o.Broken
	h.Answers += o.Answers
	h.Bad += o.Bad
	h.Failed += o.Failed
}

// share returns the share of bad answers that a version of that many servers may have at the moment.
// Each server counts alike: others avoid a bad server, and the version cannot before enough is known of
// each of its own. Where some are broken, more of a few servers can be so by chance.
func (h *Health) share(servers int, isTimed bool) float64 {
	share := 0.0
	if h.Servers >= minTimed {
		broken := max(0, float64(h.Broken/h.Servers)-chanceBroken)
		share = brokenConfidence * math.Sqrt(broken*(1-broken)/float64(max(1, servers)))
		if isTimed {
			share += float64(h.BadShares / h.Servers)
		} else {
			share += broken
		}
	}
	if h.Answers >= minTimed {
		bad := h.Failed
		if isTimed {
			bad = h.Bad
		}
		share = max(share, float64(bad/h.Answers))
	}
	return share
}

// serverRecord holds the decaying count of a server's answers and its average share of bad ones.
type serverRecord struct {
	answers, bad float32
}

// serverRecords are the servers that have answered a box, and its recent answers.
type serverRecords struct {
	servers map[uint32]*serverRecord
	recent  Health
}

func (r *serverRecords) add(server uint32, isBad, failed bool) {
	bad := float32(0)
	r.recent.Answers++
	if isBad {
		bad = 1
		r.recent.Bad++
	}
	if failed {
		r.recent.Failed++
	}
	s := r.servers[server]
	switch {
	case s == nil && len(r.servers) >= maxServers:
	case s == nil:
		r.servers[server] = &serverRecord{answers: 1, bad: bad}
	default:
		s.answers++
		s.bad += newAnswer * (bad - s.bad)
	}
}

// decay reduces the counts according to the time that has passed; by is the factor of decayTime.
func (r *serverRecords) decay(passed time.Duration, by float32) {
	quickly := float32(math.Exp(-passed.Seconds() / recentTime.Seconds()))
	r.recent.Answers *= quickly
	r.recent.Bad *= quickly
	r.recent.Failed *= quickly
	for server, s := range r.servers {
		if s.answers *= by; s.answers < leastAnswers {
			delete(r.servers, server)
		}
	}
}

func (r *serverRecords) health() Health {
	h := r.recent
	for _, s := range r.servers {
		h.Servers++
		h.BadShares += s.bad
		if s.answers > fewAnswers && s.bad > 0.5 {
			h.Broken++
		}
	}
	return h
}
