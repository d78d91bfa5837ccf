package machines

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// lookUp returns what a box's directory names to clients of a zone of the east, or nil if it
// cannot be reached.
func lookUp(b *Box, zone string) []string {
	response, err := http.Get(fmt.Sprintf("http://%s/-/resolve?name=shop.example&region=east&zone=%s", b.Directory, zone))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// TestClientsOfAZoneWhoseLargeBoxesEnd runs boxes of unlike size. Clients of a zone are told of
// its large boxes and of standby boxes; after the large ones have ended at once, a name that the
// clients hold still serves, and lookups soon name the zone's small boxes.
func TestClientsOfAZoneWhoseLargeBoxesEnd(t *testing.T) {
	is := is.New(t)
	f, err := NewFleet(networkOf(t), io.Discard)
	is.NoErr(err)
	t.Cleanup(f.Close)
	f.Configure(1, read)
	_, err = f.AddServer("east-b.1", "shop", "east-b", 8, time.Millisecond)
	is.NoErr(err)
	add := func(zone string, machine settings.Machine) *Box {
		f.ChangeSettings = func(s *settings.Settings) { s.Machine = machine }
		b, err := f.AddBox(zone)
		is.NoErr(err)
		return b
	}
	large := settings.Machine{Cores: 0.8, LinkMbps: 200, MemoryMB: 536, Descriptors: 8192}
	small := settings.Machine{Cores: 0.16, LinkMbps: 10, MemoryMB: 184, Descriptors: 4100}
	lost := []*Box{add("east-a", large), add("east-a", large)}
	left := []*Box{add("east-a", small), add("east-a", small)}
	others := []*Box{add("east-b", large), add("east-b", large)}
	want := []string{lost[0].Clients, lost[1].Clients, others[0].Clients, others[1].Clients}
	slices.Sort(want)
	eventually(t, "the same answer at all boxes", func() bool {
		return !slices.ContainsFunc(f.Boxes, func(b *Box) bool { return !slices.Equal(lookUp(b, "east-a"), want) })
	})

	for _, b := range lost {
		b.Stop()
	}
	served := 0
	for _, address := range want {
		c := &Client{Address: address}
		if a := c.Do("GET", "/read/1", "id", "", ""); a.Problem == nil && a.Status == 200 {
			served++
		}
		c.Close()
	}
	is.Equal(served, 2) // the standby boxes
	serves := []string{left[0].Clients, left[1].Clients, others[0].Clients, others[1].Clients}
	slices.Sort(serves)
	eventually(t, "the small boxes of the zone are named", func() bool { return slices.Equal(lookUp(left[0], "east-a"), serves) })
	c := &Client{Address: left[0].Clients}
	defer c.Close()
	is.Equal(c.Do("GET", "/read/1", "id-2", "", "").Status, 200)
}
