package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Customers: the clients send the key of a customer without a limit. One more client of each
// box sends far more than the limit of its customer, and one sends a key that the newest
// configuration no longer has.
// ================================================================

const (
	usualCustomer   = "studio"
	limitedCustomer = "label"
	// keyPrefix is the start of every key, so that a search for it finds any key.
	keyPrefix = "soak-key"
	// limitRate and limitBurst are the limit of the limited customer, in requests a second and
	// in requests.
	limitRate      = 25
	limitBurst     = 10
	overLimitPause = 15 * time.Millisecond
	// quotaWindow, quotaOverage and quotaSlack are the defaults of the settings.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

func keyOf(customer string) string { return keyPrefix + "-" + customer }

// keyOfVersion returns the key of the usual customer that only this version of the
// configuration has.
func keyOfVersion(version int) string { return fmt.Sprintf("%s-version-%d-", keyPrefix, version) }

func customersOf(version int) []machines.Customer {
	return []machines.Customer{
		{Name: usualCustomer, Keys: []string{keyOf(usualCustomer), keyOfVersion(version)}},
		{Name: limitedCustomer, Keys: []string{keyOf(limitedCustomer)}, Rate: limitRate, Burst: limitBurst},
	}
}

// customerHeaders returns the headers of a request with this key that also claims to come from
// another customer.
func customerHeaders(key string) string {
	return "Authorization: Bearer " + key + "\r\nX-Stoneworks-Tenant: somebody-else\r\n"
}

// sendOverLimit sends a box the limited customer's requests, far more than its limit.
func (r *run) sendOverLimit(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		r.sendSideRequest(c, b, keyOf(limitedCustomer))
		time.Sleep(overLimitPause)
	}
}

// probeOldKey sends a box requests with the key that only the version before the newest had.
func (r *run) probeOldKey(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		newest := 0
		r.update(func(h *History) { newest = h.Configurations[len(h.Configurations)-1].Version })
		if newest > 1 {
			q := r.sendSideRequest(c, b, keyOfVersion(newest-1))
			r.update(func(h *History) {
				h.OldKeys = append(h.OldKeys, Probe{Box: q.Box, Incarnation: q.Incarnation, Version: newest - 1, At: q.Sent, Status: q.Status})
			})
		}
		time.Sleep(probePause)
	}
}

// sendSideRequest sends a request that does not count in the recovery.
func (r *run) sendSideRequest(c *machines.Client, b *processes.Box, key string) Request {
	q := Request{
		ID: newID(), Kind: "safe", Method: "GET", Target: "/read/aside", Box: b.IP, Incarnation: b.Incarnation(),
		Timeout: time.Second + 200*time.Millisecond, Sent: time.Now(),
	}
	answer := c.Do(q.Method, q.Target, q.ID, "", customerHeaders(key)+"X-Stoneworks-Request-Timeout-Ms: 1000\r\n")
	q.Ended = time.Now()
	if answer.Problem != nil {
		c.Close()
	} else {
		q.Status = answer.Status
	}
	r.update(func(h *History) { h.SideRequests = append(h.SideRequests, q) })
	return q
}

// ----------------------------------------------------------------
// Checks
// ----------------------------------------------------------------

// customerNamed finds requests for which a server did not get the name of the customer of the
// key, whatever the client claimed.
func customerNamed(h *History) (found []string) {
	restricted := map[string]string{}
	for _, q := range slices.Concat(h.Requests, h.SideRequests) {
		if q.Customer != "" {
			restricted[q.ID] = q.Customer
		}
	}
	for server, list := range h.Runs {
		for _, run := range list {
			name := strings.Join(run.Header.Values("X-Stoneworks-Tenant"), ", ")
			wanted, isKnown := restricted[run.ID]
			if isKnown && name != wanted || !isKnown && name != usualCustomer && name != limitedCustomer {
				found = append(found, fmt.Sprintf("%s ran %s as a request of the customer %q", server, run.ID, name))
			}
		}
	}
	return found
}

// keysKept finds keys in requests that reached servers and in logs.
func keysKept(h *History) (found []string) {
	for server, list := range h.Runs {
		for _, run := range list {
			if strings.Contains(fmt.Sprint(run.Header), keyPrefix) {
				found = append(found, fmt.Sprintf("%s got a key in the headers of %s", server, run.ID))
			}
		}
	}
	return append(found, h.KeysLogged...)
}

// customerLimit finds a window in which all boxes together passed on more requests of a customer than
// its customerLimit allows.
func customerLimit(h *History) []string {
	var times []time.Time
	for _, list := range h.Runs {
		for _, run := range list {
			if run.Header.Get("X-Stoneworks-Tenant") == limitedCustomer {
				times = append(times, run.At)
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	allowed := (limitRate*quotaWindow.Seconds()+limitBurst)*(1+quotaOverage) + quotaSlack
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []string{fmt.Sprintf("%d requests of a customer that is allowed %.0f in %s", n, allowed, quotaWindow)}
		}
	}
	return nil
}

// oldKeys finds boxes that still accept a key boundConfig after its removal.
func oldKeys(h *History) (found []string) {
	for _, c := range h.Configurations {
		for _, p := range h.OldKeys {
			late := p.At.Sub(c.At) > boundConfig+timingSlack
			if p.Version != c.Version-1 || !late || p.Status != http.StatusOK || h.isExempt(p.Box, c.At, p.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s accepted a key %s after its removal", p.Box, p.At.Sub(c.At).Round(time.Millisecond)))
		}
	}
	return found
}
