package machines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/customerstats"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// syncBuffer is a log that boxes write and tests read at the same time.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (n *syncBuffer) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.Write(p)
}

func (n *syncBuffer) String() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.String()
}

// These are the customers' API keys in these tests. All contain keysPart, so that a search for it
// finds any of them.
const (
	studioKey  = "kk-secret-studio-1"
	studioKey2 = "kk-secret-studio-2"
	labelKey   = "kk-secret-label-1"
	keysPart   = "kk-secret"
)

func bearer(key string) string { return "Authorization: Bearer " + key + "\r\n" }

var open = Route{Prefix: "/open/", Kind: "safe", Service: "shop", TimeoutMS: 1500, Anonymous: true}

// customers returns the customers of these tests' fleets.
func customers() []Customer {
	return []Customer{
		{Name: "studio", Keys: []string{studioKey, studioKey2}},
		{Name: "label", Keys: []string{labelKey}, Regions: []string{"west"}},
	}
}

// newCustomerFleet starts a fleet with the customers, a server in each zone, and boxes spread over
// the zones.
func newCustomerFleet(t *testing.T, log io.Writer, boxes int, list []Customer) *Fleet {
	t.Helper()
	f, err := NewFleet(networkOf(t), log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Customers = list
	f.Configure(1, read, buy, upload, open)
	for _, z := range Zones {
		if _, err := f.AddServer(z.Zone+".1", "shop", z.Zone, 16, 5*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	for i := range boxes {
		if _, err := f.AddBox(Zones[i%len(Zones)].Zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready", func() bool {
		for _, b := range f.Boxes {
			if !b.Node.Ready() {
				return false
			}
		}
		return true
	})
	return f
}

// runs returns the runs of all servers of the fleet.
func (f *Fleet) runs() []Run {
	var list []Run
	for _, s := range f.Servers {
		list = append(list, s.Runs()...)
	}
	return list
}

func TestOneKeyOfACustomerIsNeeded(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 1, customers())
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	for i, c := range []struct {
		path, header string
		status       int
	}{
		{"/read/1", bearer(studioKey), 200},
		{"/read/1", bearer(studioKey2), 200},
		{"/read/1", "authorization: bearer " + studioKey + "\r\n", 200},
		{"/read/1", "Authorization:  Bearer " + studioKey + " \r\n", 200},
		{"/read/1", "", 401},
		{"/read/1", bearer("unknown"), 401},
		{"/read/1", bearer(studioKey[:len(studioKey)-1]), 401},
		{"/read/1", bearer(strings.Repeat("k", 5000)), 401},
		{"/read/1", bearer(studioKey) + bearer(studioKey), 401},
		{"/read/1", bearer(studioKey) + bearer("other"), 401},
		{"/read/1", bearer(studioKey + " " + labelKey), 401},
		{"/read/1", bearer(studioKey + ", " + labelKey), 401},
		{"/read/1", "Authorization: Basic " + studioKey + "\r\n", 401},
		{"/read/1", "Authorization: Bearer\r\n", 401},
		{"/read/1", "Authorization: " + studioKey + "\r\n", 401},
		{"/nowhere/1", "", 404},
		{"/open/1", "", 200},
		{"/open/1", bearer(studioKey), 200},
		{"/open/1", bearer("unknown"), 401},
	} {
		a := client.Do("GET", c.path, fmt.Sprint("id-", i), "", c.header)
		is.NoErr(a.Problem)
		if a.Status != c.status {
			t.Errorf("%s %q: status %d, not %d", c.path, c.header, a.Status, c.status)
		}
		is.Equal(a.Header.Get("WWW-Authenticate") != "", c.status == http.StatusUnauthorized)
	}
}

// TestServersLearnTheCustomerAndNeverTheKey checks that servers get the name of the authenticated
// customer and no API key, whatever headers the client sends.
func TestServersLearnTheCustomerAndNeverTheKey(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 1, customers())
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	for i, c := range []struct{ path, header, want string }{
		{"/read/1", bearer(studioKey), "studio"},
		{"/read/1", bearer(studioKey) + "X-Stoneworks-Tenant: label\r\n", "studio"},
		{"/read/1", bearer(studioKey) + "x-stoneworks-tenant: label\r\nX_Stoneworks_Tenant: label\r\n", "studio"},
		{"/read/1", bearer(studioKey) + "Connection: X-Stoneworks-Tenant\r\nX-Stoneworks-Tenant: label\r\n", "studio"},
		{"/buy/1", bearer(labelKey), "label"},
		{"/open/1", "X-Stoneworks-Tenant: label\r\n", ""},
		{"/open/1", "Authorization: Basic " + studioKey + "\r\n", ""},
	} {
		a := client.Do("GET", c.path, fmt.Sprint("id-", i), "", c.header)
		is.NoErr(a.Problem)
		is.Equal(a.Status, 200)
		for _, r := range f.runs() {
			if r.ID != fmt.Sprint("id-", i) {
				continue
			}
			is.Equal(r.Header.Get("X-Stoneworks-Tenant"), c.want)
			is.True(len(r.Header.Values("X-Stoneworks-Tenant")) <= 1)
			if shown := fmt.Sprint(r.Header); strings.Contains(shown, keysPart) || strings.Contains(strings.ToLower(shown), "label") && c.want != "label" {
				t.Errorf("a server got %s", shown)
			}
		}
	}
	is.Equal(len(f.runs()), 7)
}

// TestRegionsOfRouteAndCustomerBothBind checks that only servers in regions that both the route and
// the customer allow get a request, and no server if there is no such region.
func TestRegionsOfRouteAndCustomerBothBind(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 2, customers())
	east := read
	east.Prefix, east.Regions = "/east/", []string{"east"}
	f.Configure(2, read, east)
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	eventually(t, "the route is active", func() bool {
		return client.Do("GET", "/east/1", "probe", "", bearer(studioKey)).Status == 200
	})
	for i := range 40 {
		key := fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i)
		is.Equal(client.Do("GET", "/read/1", fmt.Sprint("label-", i), "", bearer(labelKey)+key).Status, 200)
		is.Equal(client.Do("GET", "/east/1", fmt.Sprint("studio-", i), "", bearer(studioKey)+key).Status, 200)
		is.Equal(client.Do("GET", "/east/1", fmt.Sprint("neither-", i), "", bearer(labelKey)+key).Status, 503)
	}
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			switch {
			case strings.HasPrefix(r.ID, "label-"):
				is.Equal(s.ID, "west-a.1")
			case strings.HasPrefix(r.ID, "studio-"):
				is.True(strings.HasPrefix(s.ID, "east-"))
			case strings.HasPrefix(r.ID, "neither-"):
				t.Error("a request ran where no region is allowed")
			}
		}
	}
}

// TestKeysComeAndGo checks that keys that are added or removed are accepted or rejected at all boxes.
func TestKeysComeAndGo(t *testing.T) {
	f := newCustomerFleet(t, io.Discard, 3, customers())
	f.Customers = []Customer{{Name: "studio", Keys: []string{studioKey2, "kk-secret-new"}}, customers()[1]}
	f.Configure(2, read)
	for _, b := range f.Boxes {
		client := &Client{Address: b.Clients}
		for key, status := range map[string]int{studioKey: 401, studioKey2: 200, "kk-secret-new": 200, labelKey: 200} {
			eventually(t, "the keys of version 2 are active", func() bool {
				return client.Do("GET", "/read/1", "id", "", bearer(key)).Status == status
			})
		}
		client.Close()
	}
}

// TestABoxOutOfContactDoesNotDenyAKey checks that a box that cannot reach the store answers 503,
// not 401, to an unknown key, since the key may have been added meanwhile.
func TestABoxOutOfContactDoesNotDenyAKey(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 2, customers())
	f.Store.SetMode(func(string, string) Mode { return Busy })
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	eventually(t, "the box knows that its configuration may be stale", func() bool {
		return client.Do("GET", "/read/1", "new", "", bearer("kk-secret-new")).Status == 503
	})
	is.Equal(client.Do("GET", "/read/1", "none", "", "").Status, 503)
	is.Equal(client.Do("GET", "/read/1", "old", "", bearer(studioKey)).Status, 200)
	f.Store.SetMode(nil)
	eventually(t, "a box with a current configuration answers 401", func() bool {
		return client.Do("GET", "/read/1", "new", "", bearer("kk-secret-new")).Status == 401
	})
}

// TestKeysAreNeverTold checks that no log line, answer or metric contains an API key, whatever is
// wrong with the configuration that defines it.
func TestKeysAreNeverTold(t *testing.T) {
	is := is.New(t)
	log := &syncBuffer{}
	f := newCustomerFleet(t, log, 2, customers())
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	var disclosed strings.Builder
	for i, header := range []string{bearer(studioKey), bearer(keysPart + "-odd"), bearer(studioKey) + bearer(labelKey), "Authorization: " + studioKey + "\r\n"} {
		a := client.Do("GET", "/read/1", fmt.Sprint("id-", i), "", header)
		disclosed.WriteString(fmt.Sprint(a.Header, strings.ReplaceAll(a.Body, "the answer", "")))
	}
	f.Store.Put("config", "main", "kk-secret-not-an-object")
	f.Store.Put("config", "main", map[string]any{"version": "00000002", "tenants": []any{map[string]any{"name": "a", "api-keys": "kk-secret-no-list"}}})
	f.Store.Put("config", "main", map[string]any{"version": "00000002", "tenants": []any{map[string]any{"name": "a", "priority": "kk-secret-no-number"}}})
	f.Customers = []Customer{{Name: "studio", Keys: []string{studioKey}}, {Name: "label", Keys: []string{studioKey}}}
	f.Configure(3, read)
	f.Customers = []Customer{{Name: "studio", Keys: []string{studioKey}, Rate: -1}}
	f.Configure(4, read)
	f.Customers = customers()
	f.Configure(5, read)
	eventually(t, "the last configuration is active", func() bool { return strings.Count(log.String(), `"version":5`) == len(f.Boxes) })
	is.True(strings.Contains(log.String(), "share the key"))
	is.True(strings.Contains(log.String(), "rate -1"))
	is.Equal(client.Do("GET", "/read/1", "after", "", bearer(studioKey)).Status, 200)
	for _, b := range f.Boxes {
		is.Equal(b.Node.Settings.Box != "", true)
		answer, err := http.Get("http://" + b.IP + ":8103/metrics")
		is.NoErr(err)
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		_ = answer.Body.Close()
		disclosed.Write(text)
	}
	for _, text := range []string{disclosed.String(), log.String()} {
		if at := strings.Index(text, keysPart); at >= 0 {
			t.Errorf("an API key is disclosed: ...%s...", text[max(0, at-200):at+30])
		}
	}
}

// TestOutOfContactKeysHoldForAsLongAsTheSettingsSay checks how long boxes without contact to the
// store accept API keys. Without enforcement they go on; with it, no box accepts any key after the
// bound, since it may have missed a revocation, whichever box of the zone is the store poller,
// until its configuration is confirmed again.
func TestOutOfContactKeysHoldForAsLongAsTheSettingsSay(t *testing.T) {
	is := is.New(t)
	for _, enforce := range []bool{false, true} {
		f := newCustomerFleet(t, io.Discard, 0, customers())
		f.ChangeSettings = func(s *settings.Settings) {
			s.Bounds.EnforceRevocation, s.Bounds.Revoke = enforce, 2500*time.Millisecond
		}
		for range 3 {
			_, err := f.AddBox("east-a")
			is.NoErr(err)
		}
		statuses := func() (list []int) {
			for _, b := range f.Boxes {
				c := &Client{Address: b.Clients}
				list = append(list, c.Do("GET", "/read/1", fmt.Sprint(time.Now()), "", bearer(studioKey)).Status)
				c.Close()
			}
			return list
		}
		all := func(status int) func() bool {
			return func() bool { return fmt.Sprint(statuses()) == fmt.Sprint([]int{status, status, status}) }
		}
		eventually(t, "all serve", all(200))
		// Boxes in contact with the store still accept keys after the bound.
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			is.True(all(200)())
		}
		f.Store.SetMode(func(string, string) Mode { return Silent })
		down := time.Now()
		if !enforce {
			time.Sleep(4 * time.Second)
			is.True(all(200)())
			continue
		}
		eventually(t, "no box accepts keys", all(503))
		is.True(time.Since(down) < 4*time.Second)
		f.Store.SetMode(nil)
		eventually(t, "all serve again", all(200))
	}
}

// TestOperatorsAreToldHowCustomersAreServed checks the counts of a customer's requests: one answered
// in time, one late and one that no server could take. Requests over the limit and unauthorized
// ones do not count.
func TestOperatorsAreToldHowCustomersAreServed(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 1, customers())
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	is.Equal(client.Do("GET", "/read/1", "in-time", "", bearer(studioKey)).Status, 200)
	for _, s := range f.Servers {
		s.Work = 600 * time.Millisecond // the target is half a second
	}
	is.Equal(client.Do("GET", "/read/1", "late", "", bearer(studioKey)).Status, 200)
	is.Equal(client.Do("GET", "/read/1", "unknown", "", bearer("unknown")).Status, 401)
	for _, z := range Zones {
		f.Store.Put("evacuations", z.Zone, map[string]any{})
	}
	eventually(t, "no server is available", func() bool {
		return client.Do("GET", "/read/1", "refused", "", bearer(studioKey)).Status == 503
	})
	answer, err := http.Get("http://" + f.Boxes[0].IP + ":8103" + customerstats.Path)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	var told customerstats.Box
	is.NoErr(json.NewDecoder(answer.Body).Decode(&told))
	at := slices.IndexFunc(told.Customers, func(c customerstats.Customer) bool { return c.Name == "studio" })
	is.True(at >= 0)
	is.Equal(told.Customers[at].InTime, uint32(1))
	is.True(told.Customers[at].Completed >= 3)
}
