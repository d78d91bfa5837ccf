package machines

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// configSpec returns the configuration that the store holds, for a test to change.
func (f *Fleet) configSpec(t *testing.T) map[string]any {
	t.Helper()
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	var spec map[string]any
	if err := json.Unmarshal(f.Store.objects["config"]["main"].Spec, &spec); err != nil {
		t.Fatal(err)
	}
	return spec
}

// TestInvalidConfigurationChangesNothing checks that a box that finds an invalid configuration in the
// store logs why, goes on with the last good one, and takes the next good one.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	log := &syncBuffer{}
	f := newCustomerFleet(t, log, 1, customers())
	f.Configure(0x10, read, open)
	b := f.Boxes[0]
	c := &Client{Address: b.Clients}
	defer c.Close()
	eventually(t, "the first configuration is in force", func() bool { return c.Do("GET", "/buy/1", "id", "", bearer(studioKey)).Status == 404 })
	first := func(spec map[string]any, list string) map[string]any { return spec[list].([]any)[0].(map[string]any) }
	path := func(spec map[string]any) map[string]any { return first(first(spec, "hosts"), "paths") }
	for i, one := range []struct {
		reason string
		change func(spec map[string]any) any
	}{
		{"could not be read", func(map[string]any) any { return "cut sho" }},
		{"no hosts", func(spec map[string]any) any { delete(spec, "hosts"); return spec }},
		{"unknown service", func(spec map[string]any) any { path(spec)["service"] = "nowhere"; return spec }},
		{"host is missing", func(spec map[string]any) any { first(spec, "hosts")["host"] = ""; return spec }},
		{"does not end with a slash", func(spec map[string]any) any { path(spec)["path-prefix"] = "/read"; return spec }},
		{"share the key", func(spec map[string]any) any {
			first(spec, "tenants")["api-keys"] = []string{studioKey, labelKey}
			return spec
		}},
		{"older", func(spec map[string]any) any { spec["version"], spec["hosts"] = "00000002", []any{}; return spec }},
	} {
		spec := f.configSpec(t)
		good := f.configSpec(t)
		spec["version"] = fmt.Sprintf("%08x", 0x20+i)
		lines := len(log.String())
		f.Store.Put("config", "main", one.change(spec))
		eventually(t, "a line says why: "+one.reason, func() bool {
			for line := range strings.Lines(log.String()[lines:]) {
				if strings.Contains(line, "store: configuration") && strings.Contains(line, one.reason) {
					return true
				}
			}
			return false
		})
		is.Equal(c.Do("GET", "/read/1", "id", "", bearer(studioKey)).Status, 200)
		is.Equal(c.Do("GET", "/read/1", "id", "", bearer(labelKey)).Status, 200)
		f.Store.Put("config", "main", good)
	}
	is.Equal(metrics.GetOrRegisterCounter("config.refused", b.Node.Metrics).Count(), int64(6)) // all but the older one
	f.Configure(0x30, read, buy, open)
	eventually(t, "the next good configuration is in force", func() bool { return c.Do("GET", "/buy/1", "id", "", bearer(studioKey)).Status == 200 })
}

// newRefusingFleet starts two boxes in each zone. The store refuses one box of two zones.
func newRefusingFleet(t *testing.T, list []Customer) *Fleet {
	t.Helper()
	f := newCustomerFleet(t, io.Discard, 2*len(Zones), list)
	eventually(t, "the boxes know each other", func() bool {
		for _, b := range f.Boxes {
			if b.Members.Count() != len(f.Boxes) {
				return false
			}
		}
		return true
	})
	f.Store.SetMode(func(ip, _ string) Mode {
		if ip == f.Boxes[0].IP || ip == f.Boxes[4].IP {
			return TooMany
		}
		return Serving
	})
	time.Sleep(500 * time.Millisecond)
	return f
}

// isRefused reports whether the store of a refusing fleet refuses the box.
func (f *Fleet) isRefused(b *Box) bool { return b == f.Boxes[0] || b == f.Boxes[4] }

// ordersWithin is the time within which an order must be in force at boxes in touch.
const ordersWithin = 3 * time.Second

// TestRevokedKeyIsRefusedEverywhere checks that a key that is taken away is refused by all boxes in
// time although the store refuses some of them, that the customer's other key goes on being served,
// and that a zone that is evacuated at the same time gets nothing. A box that the store refuses
// may not be able to tell whether the key has been added since, and then answers 503.
func TestRevokedKeyIsRefusedEverywhere(t *testing.T) {
	is := is.New(t)
	f := newRefusingFleet(t, customers())
	f.Customers[0].Keys = []string{studioKey}
	f.Configure(2, read, buy, upload, open)
	f.Store.Put("evacuations", "east-b", map[string]any{})
	time.Sleep(ordersWithin)
	before := f.Servers["east-b.1"].Arrivals()
	for i, b := range f.Boxes {
		c := &Client{Address: b.Clients}
		status := c.Do("GET", "/read/1", fmt.Sprint("revoked-", i), "", bearer(studioKey2)).Status
		is.True(status == 401 || status == 503 && f.isRefused(b))
		for k := range 10 {
			is.Equal(c.Do("GET", "/read/1", fmt.Sprint("kept-", i, k), "", bearer(studioKey)+fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", k)).Status, 200)
		}
		c.Close()
	}
	is.Equal(f.Servers["east-b.1"].Arrivals(), before)
}

// TestLimitThatIsLoweredHoldsInTime checks that a customer whose limit is set far below what it sends
// is kept within the new limit over all boxes in time, although the store refuses some of them, and
// that another customer notices nothing.
func TestLimitThatIsLoweredHoldsInTime(t *testing.T) {
	is := is.New(t)
	studio, label := Customer{Name: "studio", Keys: []string{studioKey}, Rate: 200, Burst: 200}, Customer{Name: "label", Keys: []string{labelKey}, Rate: 100, Burst: 100}
	f := newRefusingFleet(t, []Customer{studio, label})
	time.Sleep(time.Second) // for the buckets to fill
	others := make(chan *loadResult, 1)
	go func() { others <- sendFor(f, labelKey, 100*time.Millisecond, 6, 2*ordersWithin+6*time.Second) }()
	high := sendFor(f, studioKey, 40*time.Millisecond, 6, ordersWithin)
	studio.Rate, studio.Burst = 10, 5
	f.Customers = []Customer{studio, label}
	f.Configure(2, read, buy, upload, open)
	sendFor(f, studioKey, 40*time.Millisecond, 6, ordersWithin)
	inForce := time.Now()
	low := sendFor(f, studioKey, 40*time.Millisecond, 6, 6*time.Second)
	late := 0
	most := 0
	for _, r := range f.runs() {
		if r.Header.Get("X-Stoneworks-Tenant") == "studio" && r.At.After(inForce) {
			late++
			if r.At.Before(inForce.Add(5 * time.Second)) {
				most++
			}
		}
	}
	other := <-others
	allowed := allowedInFiveSeconds(10, 5)
	t.Logf("before %v; after %v, %d in 5 s of %d, %d in all; label %v", high.statuses, low.statuses, most, allowed, late, other.statuses)
	is.True(high.statuses[429] == 0)
	is.True(most <= allowed)
	is.True(low.statuses[200] >= 10*6/2) // at least half of what the limit allows
	is.Equal(len(other.statuses), 1)
	is.True(other.statuses[200] > 0)
}
