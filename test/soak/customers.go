package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Customers: all clients send the key of one that has no limit. Beside them one
// client of each box sends far more than its customer may, and one sends a key that
// the newest configuration no longer has.
// ================================================================

const (
	usualCustomer   = "studio"
	limitedCustomer = "label"
	// keysPart is part of every key, so that a search for it finds any.
	keysPart = "soak-key"
	// limitRate and limitBurst are the limit of the limited customer.
	limitRate  = 25
	limitBurst = 10
	pressPause = 15 * time.Millisecond
	// quotaWindow, quotaOverage and quotaSlack are the settings' defaults.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

func keyOf(customer string) string { return keysPart + "-" + customer }

// keyOfVersion is a key of the usual customer that only one version has.
func keyOfVersion(version int) string { return fmt.Sprintf("%s-version-%d-", keysPart, version) }

func customersOf(version int) []machines.Customer {
	return []machines.Customer{
		{Name: usualCustomer, Keys: []string{keyOf(usualCustomer), keyOfVersion(version)}},
		{Name: limitedCustomer, Keys: []string{keyOf(limitedCustomer)}, Rate: limitRate, Burst: limitBurst},
	}
}

// claims are the headers of a request of a customer, which also claims to be of
// another one.
func claims(key string) string {
	return "Authorization: Bearer " + key + "\r\nX-Stoneworks-Tenant: somebody-else\r\n"
}

// presser sends the limited customer's requests to a box, far more than it may.
func (r *run) presser(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		r.aside(c, b, keyOf(limitedCustomer))
		time.Sleep(pressPause)
	}
}

// keyProber asks a box with the key that only the version before the newest had.
func (r *run) keyProber(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		newest := 0
		r.note(func(h *History) { newest = h.Configurations[len(h.Configurations)-1].Version })
		if newest > 1 {
			q := r.aside(c, b, keyOfVersion(newest-1))
			r.note(func(h *History) {
				h.OldKeys = append(h.OldKeys, Probe{Box: q.Box, Life: q.Life, Version: newest - 1, At: q.Sent, Status: q.Status})
			})
		}
		time.Sleep(probePause)
	}
}

// aside sends a request that is no part of what is asked of the recovery.
func (r *run) aside(c *machines.Client, b *processes.Box, key string) Request {
	q := Request{
		ID: newID(), Kind: "safe", Method: "GET", Target: "/read/aside", Box: b.IP, Life: b.Incarnation(),
		Timeout: time.Second + 200*time.Millisecond, Sent: time.Now(),
	}
	answer := c.Do(q.Method, q.Target, q.ID, "", claims(key)+"X-Stoneworks-Request-Timeout-Ms: 1000\r\n")
	q.Ended = time.Now()
	if answer.Problem != nil {
		c.Close()
	} else {
		q.Status = answer.Status
	}
	r.note(func(h *History) { h.Left = append(h.Left, q) })
	return q
}

// ----------------------------------------------------------------
// Checks
// ----------------------------------------------------------------

// customerNamed: servers learn from the box whose request it is, whatever the client
// claims.
func customerNamed(h *History) (found []string) {
	for server, list := range h.Runs {
		for _, run := range list {
			name := strings.Join(run.Header.Values("X-Stoneworks-Tenant"), ", ")
			if name != usualCustomer && name != limitedCustomer {
				found = append(found, fmt.Sprintf("%s ran %s of the customer %q", server, run.ID, name))
			}
		}
	}
	return found
}

// keysKept: no key reaches a server or a log.
func keysKept(h *History) (found []string) {
	for server, list := range h.Runs {
		for _, run := range list {
			if strings.Contains(fmt.Sprint(run.Header), keysPart) {
				found = append(found, fmt.Sprintf("%s got a key with %s", server, run.ID))
			}
		}
	}
	return append(found, h.KeysLogged...)
}

// limit: all boxes together let no more pass than the limit, in any window.
func limit(h *History) []string {
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
			return []string{fmt.Sprintf("%d requests of a customer that may send %.0f in %s", n, allowed, quotaWindow)}
		}
	}
	return nil
}

// oldKeys: a key that was taken away counts no more, some time after that.
func oldKeys(h *History) (found []string) {
	for _, c := range h.Configurations {
		for _, p := range h.OldKeys {
			late := p.At.Sub(c.At) > boundConfig+pace
			if p.Version != c.Version-1 || !late || p.Status != http.StatusOK || h.touched(p.Box, c.At, p.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s served by a key %s after it was taken away", p.Box, p.At.Sub(c.At).Round(time.Millisecond)))
		}
	}
	return found
}
