package ingress

import (
	"slices"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// fingerprint returns the fingerprint of the request, which is the same for every attempt at
// it. It is computed only when needed, because it covers the buffered body.
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

// classifyLoss returns the result of an exchange whose connection was lost. It determines
// whether the backend server has crashed or only closed the connection, and counts a crash
// against the request. A server that is known to be leaving ends as planned. If the request is
// not sent again, the check runs in the background, so that the client need not wait for it. A crash is
// not observed as an attempt: most requests that were at the server did not cause it.
func (c *call) classifyLoss(lease *backend.Lease, attempt Attempt, err error) backend.Result {
	if !exchange.ClosedUnanswered(err) || !lease.Usable() {
		c.observeAttempt(lease, attempt)
		return backend.Broken
	}
	if !c.route.Idempotent() || !c.body.replayable() || c.sent >= max(1, c.route.MaxAttempts) {
		f, server := c.fingerprint(), lease.Server
		c.server.Background(func() {
			if c.server.HasCrashed(&server) {
				c.server.ObserveCrash(f, server.Incarnation())
				return
			}
			if !c.server.IsPathLost(&server, err) {
				c.observeAttempt(lease, attempt)
			}
		})
		return backend.Broken
	}
	if !c.server.HasCrashed(&lease.Server) {
		if c.server.IsPathLost(&lease.Server, err) {
			return backend.PathLost // found by the check
		}
		c.observeAttempt(lease, attempt)
		return backend.Broken
	}
	c.crashes++
	c.server.ObserveCrash(c.fingerprint(), lease.Incarnation())
	return backend.Crashed
}

// crashesPerAttempt is how many backend servers may crash during one attempt. Most requests
// that were at a server when it crashed did not cause the crash, so the first crash is
// followed by a retry; two crashes in a row are unlikely for other requests.
const crashesPerAttempt = 2

// tooManyCrashes reports whether the request must not be sent on because of the servers that
// have crashed under it, in this attempt or in others.
func (c *call) tooManyCrashes() bool {
	if c.crashes == 0 {
		return false
	}
	_, held := c.server.Quarantine.Held(c.fingerprint())
	return held || c.crashes >= crashesPerAttempt
}

// checkQuarantine rejects a request under which several backend servers have crashed. Such a
// request is retried at all boxes in turn, and would crash one server after another.
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

// noteSurvival records that a backend server answered the request without crashing.
func (c *call) noteSurvival(meta AnswerMeta) {
	if !meta.Signed || c.server.Quarantine.Empty() {
		return
	}
	if c.server.Quarantine.ObserveAnswer(c.fingerprint()) {
		c.server.ObserveRelease(c.fingerprint())
	}
}

// placementKey returns the key by which the request's server is chosen: the affinity key,
// unless a crash counts against the request. Requests that were at the same server when it
// crashed have the same next server by affinity, and would lose that one together too. Placed
// by their own fingerprints, all but the one that crashes servers are answered and thereby
// cleared.
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
