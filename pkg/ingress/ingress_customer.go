package ingress

import (
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/routing"
)

// authenticate finds the customer whose request it is. A box answers that a key is required or
// unknown only if its configuration is known to be up to date; otherwise the key may have been
// added since, or the route opened to requests without a key.
func (c *call) authenticate(table *routing.Table) *outcome.Failure {
	c.hasCustomers = table.HasCustomers()
	if !c.hasCustomers {
		return nil
	}
	credential := &c.meta.Credential
	if !credential.Present || credential.Malformed {
		if c.route.AllowAnonymous {
			return nil
		}
		return c.unauthorized("the request carries no key, or not exactly one")
	}
	c.customer = table.Owner(credential.Digest)
	if c.customer == nil {
		return c.unauthorized("the key is unknown")
	}
	if !c.server.KeysTrusted() {
		return outcome.NewNotRun(outcome.ReasonNotReady, "the key may have been revoked").WithRetryAfter(notReadyRetry)
	}
	return nil
}

func (c *call) unauthorized(why string) *outcome.Failure {
	if !c.server.Current() {
		return outcome.NewNotRun(outcome.ReasonNotReady, why+", but the configuration may be out of date").WithRetryAfter(notReadyRetry)
	}
	return outcome.NewNotRun(outcome.ReasonUnauthorized, why)
}

// admit refuses a request over its customer's limit before the body is read.
func (c *call) admit() *outcome.Failure {
	if c.customer == nil || c.customer.Rate <= 0 {
		return nil
	}
	admitted, retryAfter := c.server.Admit(c.ctx, c.customer)
	switch {
	case admitted:
		return nil
	case c.r.Context().Err() != nil:
		return outcome.NewNotRun(outcome.ReasonCancelled, "the client left")
	}
	return outcome.NewNotRun(outcome.ReasonOverLimit, c.customer.Name).WithRetryAfter(retryAfter)
}

// returnAdmission returns what a request that has not run took of its customer's limit.
func (c *call) returnAdmission(f *outcome.Failure) {
	if c.customer != nil && c.customer.Rate > 0 && f.Outcome == outcome.NotRun {
		c.server.ReturnAdmission(c.customer)
	}
}

// priority returns the priority of the request. The customer's takes precedence over the
// route's.
func (c *call) priority() int {
	if c.customer != nil {
		return c.customer.Priority
	}
	return c.route.Priority
}

// observeTarget records how a customer's request has ended.
func (c *call) observeTarget(answered bool) {
	if c.customer == nil {
		return
	}
	target := c.route.TargetLatency
	took := c.server.Now().Sub(c.start)
	c.server.ObserveTarget(c.customer, answered && (target <= 0 || took <= target))
}

// isRegionRestricted reports whether the request may not run in all regions.
func (c *call) isRegionRestricted() bool {
	return c.route != nil && len(c.route.AllowedRegions) > 0 || c.customer != nil && len(c.customer.AllowedRegions) > 0
}

// regionAllowed reports whether the request may run in the region. Both its route and its
// customer must allow it.
func (c *call) regionAllowed(region string) bool {
	return c.route.RegionAllowed(region) && (c.customer == nil || c.customer.RegionAllowed(region))
}
