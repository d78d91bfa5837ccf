package machines

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// namedRegions returns the regions of the boxes that a box's directory names to a client of the west
// for the host shop.example.
func namedRegions(t *testing.T, f *Fleet, b *Box) (regions []string) {
	t.Helper()
	answer, err := http.Get("http://" + b.Directory + "/-/resolve?name=shop.example&region=west&zone=west-a")
	if err != nil {
		return nil // it has ended
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	var body struct{ Addresses []string }
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	for _, address := range body.Addresses {
		ip, _, _ := strings.Cut(address, ":")
		i := slices.IndexFunc(f.Boxes, func(b *Box) bool { return b.IP == ip })
		regions = append(regions, f.Boxes[i].Topology.RegionOf(f.Boxes[i].Settings.Zone))
	}
	return slices.Compact(slices.Sorted(slices.Values(regions)))
}

// TestPlannedStopsSendNoRestrictedRequestsToOtherRegions guards against a directory that names boxes
// outside the allowed regions of a host while the boxes of these regions stop as planned.
func TestPlannedStopsSendNoRestrictedRequestsToOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newThreeRegions(t)
	is.Equal(namedRegions(t, f, f.Boxes[0]), []string{"west"})
	var stops conc.WaitGroup
	defer stops.Wait()
	for _, b := range []*Box{f.Boxes[1], f.Boxes[4]} {
		stops.Go(func() { b.Leave(t.Context()) })
	}
	outside := map[string]int{}
	for start := time.Now(); time.Since(start) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		for _, b := range f.Boxes {
			for _, region := range namedRegions(t, f, b) {
				if region != "west" {
					outside[region]++
				}
			}
		}
	}
	is.Equal(outside, map[string]int{})
}
