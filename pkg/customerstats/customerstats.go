// Package customerstats defines what boxes report to operators about their customers, and sums
// it over boxes. It holds data and tables only.
package customerstats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Path is the path of the report on a box's admin address.
const Path = "/v1/customers"

// Box is the report of one box.
type Box struct {
	Box    string `json:"box"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Version is the version of the configuration in force.
	Version   uint64     `json:"version"`
	Customers []Customer `json:"customers"`
}

// Customer is one customer at one box. Its counts are since the start of the box.
type Customer struct {
	Name string `json:"name"`
	// Keys are the beginnings of the keys' digests; see customer.Digest.
	Keys           []string `json:"keys"`
	Priority       int      `json:"priority"`
	Rate           float64  `json:"rate"`
	Burst          float64  `json:"burst"`
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Arrived        uint32   `json:"arrived"`
	Admitted       uint32   `json:"admitted"`
	Refused        uint32   `json:"refused"`
	PerSecond      float64  `json:"per_second"`
	Held           int      `json:"held"`
	// Completed counts the requests within the customer's limit that have ended at this box,
	// except those that their clients abandoned. InTime counts those of them that were
	// answered within their route's target.
	Completed uint32 `json:"settled"`
	InTime    uint32 `json:"in_time"`
}

// Row is a customer's sum over boxes.
type Row struct {
	Customer
	// Regions holds the sums for each region, by the region's name.
	Regions map[string]*Customer
}

// Sum adds up the reports of boxes, by customer.
func Sum(boxes []Box) []Row {
	rows := map[string]*Row{}
	for _, b := range boxes {
		for _, c := range b.Customers {
			r := rows[c.Name]
			if r == nil {
				r = &Row{Customer: c, Regions: map[string]*Customer{}}
				r.Arrived, r.Admitted, r.Refused, r.PerSecond, r.Held, r.Completed, r.InTime = 0, 0, 0, 0, 0, 0, 0
				rows[c.Name] = r
			}
			if r.Regions[b.Region] == nil {
				r.Regions[b.Region] = &Customer{}
			}
			r.add(c)
			r.Regions[b.Region].add(c)
		}
	}
	var list []Row
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, *rows[name])
	}
	return list
}

func (c *Customer) add(o Customer) {
	c.Arrived += o.Arrived
	c.Admitted += o.Admitted
	c.Refused += o.Refused
	c.PerSecond += o.PerSecond
	c.Held += o.Held
	c.Completed += o.Completed
	c.InTime += o.InTime
}

// Print writes the rows as a table for a terminal, sorted by refused requests, most first.
func Print(w io.Writer, rows []Row) error {
	slices.SortStableFunc(rows, func(a, b Row) int { return int(int64(b.Refused) - int64(a.Refused)) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tRATE\tBURST\tREGIONS\tKEYS\tPER SECOND\tARRIVED\tADMITTED\tREFUSED\tIN TIME\tREFUSED BY REGION")
	for i := range rows {
		r := &rows[i]
		var refused []string
		for _, region := range slices.Sorted(maps.Keys(r.Regions)) {
			refused = append(refused, fmt.Sprintf("%s %d", region, r.Regions[region].Refused))
		}
		fmt.Fprintf(t, "%s\t%s\t%g\t%s\t%s\t%.1f\t%d\t%d\t%d\t%s\t%s\n",
			r.Name, rate(r.Rate), r.Burst, orAll(r.AllowedRegions), strings.Join(r.Keys, ","), r.PerSecond, r.Arrived, r.Admitted, r.Refused, r.inTime(), strings.Join(refused, ", "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return printWorst(w, rows)
}

// printWorst writes the share of requests answered in time, since the boxes started, of the
// worst-served tenth of the customers.
func printWorst(w io.Writer, rows []Row) error {
	var shares []float64
	for i := range rows {
		if rows[i].Completed >= minRequests {
			shares = append(shares, rows[i].share())
		}
	}
	share, count := worstTenth(shares)
	if count == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\nworst tenth (%d of %d customers) since the boxes started: %.0f%% in time\n", count, len(shares), 100*share)
	return err
}

// share returns the share of the customer's requests that were answered in time.
func (c *Customer) share() float64 { return float64(c.InTime) / float64(max(1, c.Completed)) }

func (c *Customer) inTime() string {
	if c.Completed == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*c.share())
}

func rate(v float64) string {
	if v <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g/s", v)
}

func orAll(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ",")
}
