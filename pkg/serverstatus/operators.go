package serverstatus

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// PathLimits is where a box's admin address serves the limits of servers that the box knows,
// and PathStatuses all that servers report about themselves.
const (
	PathLimits   = "/v1/server-limits"
	PathStatuses = "/v1/server-words"
)

// BoxLimits are the limits that one box knows.
type BoxLimits struct {
	Box    string  `json:"box"`
	Limits []Limit `json:"limits"`
}

// Limit is the limit that a server names, and the counts of the box's requests under it.
type Limit struct {
	// Server names the server's incarnation, see backend.Server.Incarnation.
	Server string `json:"server"`
	Zone   string `json:"zone"`
	// PerSecond is how many requests per second the server accepts from all boxes together.
	PerSecond float64 `json:"per_s"`
	// Admitted and Denied count requests of the box since it started. AskedPerSecond is how
	// many of its requests per second preferred the server recently.
	Admitted       uint32  `json:"admitted"`
	Denied         uint32  `json:"denied"`
	AskedPerSecond float64 `json:"asked_per_s"`
}

// Print writes the limits as a table with a line per server and box.
func Print(w io.Writer, boxes []BoxLimits) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "SERVER\tZONE\tPER S\tBOX\tASKED PER S\tADMITTED\tDENIED"); err != nil {
		return err
	}
	for _, b := range boxes {
		for _, l := range b.Limits {
			if _, err := fmt.Fprintf(t, "%s\t%s\t%g\t%s\t%.1f\t%d\t%d\n", l.Server, l.Zone, l.PerSecond, b.Box, l.AskedPerSecond, l.Admitted, l.Denied); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// BoxStatuses is what backend servers report about themselves, as one box knows it.
type BoxStatuses struct {
	Box     string   `json:"box"`
	Servers []Status `json:"servers"`
}

// Status is what one server reports about itself.
type Status struct {
	// Server names the server's incarnation, see backend.Server.Incarnation.
	Server string `json:"server"`
	Zone   string `json:"zone"`
	// Leaving is set if the server leaves.
	Leaving bool `json:"leaving,omitempty"`
	// RestMS is for how much longer the server wants no requests from this box, in
	// milliseconds.
	RestMS int64 `json:"rest_ms,omitempty"`
	// PerSecond is how many requests per second the server accepts from all boxes together,
	// nil if it names no limit.
	PerSecond *float64 `json:"per_s,omitempty"`
}

// PrintStatuses writes the statuses as a table with a line per server and box.
func PrintStatuses(w io.Writer, boxes []BoxStatuses) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "SERVER\tZONE\tLEAVES\tREST\tPER S\tBOX"); err != nil {
		return err
	}
	for _, b := range boxes {
		for _, s := range b.Servers {
			leaves, perSecond := "no", "-"
			if s.Leaving {
				leaves = "yes"
			}
			if s.PerSecond != nil {
				perSecond = fmt.Sprintf("%g", *s.PerSecond)
			}
			rest := time.Duration(s.RestMS) * time.Millisecond
			if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Server, s.Zone, leaves, rest, perSecond, b.Box); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}
