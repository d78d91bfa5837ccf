package gossip

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// PathFleet is the path on a box's admin address at which operators get what it knows of all
// boxes.
const PathFleet = "/v1/fleet"

// maxNamed bounds how many boxes of a zone an overview names in a list.
const maxNamed = 4

// FleetBox is the fleet as one box knows it.
type FleetBox struct {
	Box   string         `json:"box"`
	Zone  string         `json:"zone"`
	Zones []ZoneOverview `json:"zones"`
	// ListAt is the store's revision up to which the box knows the list of servers, ListAgeMS
	// how long ago that list was last known to be the newest, and ConfigurationAgeMS the same
	// for the configuration, in milliseconds.
	ListAt             uint64 `json:"list_at"`
	ListAgeMS          int64  `json:"list_age_ms"`
	ConfigurationAgeMS int64  `json:"configuration_age_ms"`
}

// ZoneOverview counts the boxes of a zone.
type ZoneOverview struct {
	Zone  string `json:"zone"`
	Boxes int    `json:"boxes"`
	Live  int    `json:"live"`
	// Ready, Leaving and Serving count live boxes; Serving are those with clients.
	Ready   int `json:"ready"`
	Leaving int `json:"leaving"`
	Serving int `json:"serving"`
	// Busy counts live boxes that use much of their machines, and Crowded are some of those that
	// use so much that clients are told of other boxes.
	Busy    int      `json:"busy"`
	Crowded []string `json:"crowded"`
	// Asking are some of the boxes that poll the store, Unanswered is how many boxes poll it
	// without an answer.
	Asking     []string `json:"asking"`
	Unanswered int      `json:"unanswered"`
	// Silent are some of the boxes that are not live.
	Silent []string `json:"silent"`
	// Behind is how many live boxes last reported an older list of servers than this box has,
	// among those that have reported theirs to it, and Slowest is the one with the oldest
	// list.
	Behind  int    `json:"behind"`
	Slowest string `json:"slowest,omitempty"`
}

// Overview counts the known boxes by zone, this one included. Kind is the kind of objects
// whose versions are compared.
func (t *Table) Overview(kind string) []ZoneOverview {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var list []ZoneOverview
	for name, z := range t.zones {
		o := ZoneOverview{Zone: name, Asking: []string{}, Silent: []string{}, Crowded: []string{}}
		own := t.self.Versions[kind].Position()
		oldest := own
		if z == t.ownZone {
			o.count(&t.self, true)
		}
		for _, e := range z.members {
			live := t.live(e, now)
			o.count(&e.Record, live)
			at := e.Versions[kind].Position()
			if !live || at.Revision == 0 || !at.Before(own) {
				continue
			}
			o.Behind++
			if at.Before(oldest) {
				oldest, o.Slowest = at, e.Box
			}
		}
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b ZoneOverview) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}

// count adds a box to the overview.
func (o *ZoneOverview) count(r *Record, live bool) {
	o.Boxes++
	if !live {
		if len(o.Silent) < maxNamed {
			o.Silent = append(o.Silent, r.Box)
		}
		return
	}
	o.Live++
	for _, f := range []struct {
		set   bool
		count *int
	}{{r.Ready, &o.Ready}, {r.Leaving, &o.Leaving}, {r.Serving, &o.Serving}, {r.StoreUnanswered, &o.Unanswered}, {r.Use >= utilization.Busy, &o.Busy}} {
		if f.set {
			*f.count++
		}
	}
	if r.Use >= utilization.Crowded && len(o.Crowded) < maxNamed {
		o.Crowded = append(o.Crowded, r.Box)
	}
	if (r.StoreHealthy || r.StoreUnanswered) && len(o.Asking) < maxNamed {
		o.Asking = append(o.Asking, r.Box)
	}
}

// PrintFleet writes what boxes know of the fleet as a table, with a heading for each box that
// was asked and a line for each zone.
func PrintFleet(w io.Writer, boxes []FleetBox) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, b := range boxes {
		if _, err := fmt.Fprintf(t, "as %s knows it; list of servers as of %d, confirmed %d ms ago\n", b.Box, b.ListAt, b.ListAgeMS); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(t, "ZONE\tBOXES\tLIVE\tREADY\tLEAVING\tWITH CLIENTS\tBUSY\tBEHIND\tSLOWEST\tASK THE STORE\tSILENT\tCROWDED"); err != nil {
			return err
		}
		for _, z := range b.Zones {
			if _, err := fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", z.Zone, z.Boxes, z.Live, z.Ready, z.Leaving, z.Serving, z.Busy,
				z.Behind, orDash(z.Slowest), orDash(strings.Join(z.Asking, " ")), orDash(strings.Join(z.Silent, " ")), orDash(strings.Join(z.Crowded, " "))); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
