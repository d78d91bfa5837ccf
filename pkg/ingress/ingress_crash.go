package ingress

import (
	"slices"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// fingerprint names the request, whatever attempt at it this is. It is worked out only
// where it is asked for, since it takes in the whole body.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint != nil {
		return *c.cachedFingerprint
	}
	i := &quarantine.Identity{
		Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Body: c.body.whole, Length: int64(len(c.body.whole)),
	}
	if c.customer != nil {
		i.Customer = c.customer.Name
	}
	if c.body.stream != nil {
		i.Body, i.Length = c.body.head, int64(c.body.length)
	}
	f := quarantine.FingerprintOf(i)
	c.cachedFingerprint = &f
	return f
}

// classifyLoss tells a backend server that has ended from a connection that was closed, and has the
// end count against the request. One that is known to leave ends as planned. Where the
// request is not to be sent again, its client need not wait for that.
func (c *call) classifyLoss(lease *backend.Lease, err error) backend.Result {
	if !exchange.ClosedUnanswered(err) || !lease.Usable() {
		return backend.Broken
	}
	if !c.route.Idempotent() || !c.body.replayable() || c.sent >= max(1, c.route.MaxAttempts) {
		f, server := c.fingerprint(), lease.Server
		c.server.Background(func() {
			if c.server.HasCrashed(&server) {
				c.server.ObserveCrash(f, server.Incarnation())
			}
		})
		return backend.Broken
	}
	if !c.server.HasCrashed(&lease.Server) {
		return backend.Broken
	}
	c.crashes++
	c.server.ObserveCrash(c.fingerprint(), lease.Incarnation())
	return backend.Crashed
}

// crashesPerAttempt is how many backend servers may crash under one attempt. Most requests
// that were at a server when it crashed did not crash it, so the first crash is followed by
// a repeat; two in a row hardly happen to others.
const crashesPerAttempt = 2

// tooManyCrashes reports whether the request is not to be sent on for what has crashed
// under it, in this attempt or in others.
func (c *call) tooManyCrashes() bool {
	if c.crashes == 0 {
		return false
	}
	_, held := c.server.Quarantine.Held(c.fingerprint())
	return held || c.crashes >= crashesPerAttempt
}

// checkQuarantine rejects a request under which several backend servers have crashed. It comes again, at
// all boxes in turn, and would end one server after the other.
func (c *call) checkQuarantine() *outcome.Failure {
	if c.server.Quarantine.Empty() {
		return nil
	}
	left, held := c.server.Quarantine.Held(c.fingerprint())
	if !held {
		return nil
	}
	return outcome.NewNotRun(outcome.ReasonCrashesServers, c.fingerprint().String()).WithRetryAfter(left)
}

// noteSurvival notes that a backend server lived to answer the request.
func (c *call) noteSurvival(verdict AnswerMeta) {
	if !verdict.Signed || c.server.Quarantine.Empty() {
		return
	}
	if c.server.Quarantine.Answered(c.fingerprint()) {
		c.server.ObserveRelease(c.fingerprint())
	}
}

// placementKey is the key by which the request's server is chosen: that of its affinity, but
// for a request against which a crash counts. Those that lost a server together have the
// same next one by affinity, and would lose that together too; each by its own fingerprint,
// all but the one that crashes servers are answered and are clear.
func (c *call) placementKey() uint64 {
	if c.server.Quarantine.Empty() || !c.server.Quarantine.Suspected(c.fingerprint()) {
		return c.key
	}
	return uint64(c.fingerprint())
}

// anyUnanswered reports whether the request was at a backend server that did not answer it.
func (c *call) anyUnanswered() bool {
	return slices.ContainsFunc(c.steps, func(t step) bool {
		return t.result == backend.Broken || t.result == backend.Crashed
	})
}
