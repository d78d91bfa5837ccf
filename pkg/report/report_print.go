package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the report as tables for a terminal.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header("SERVICE"))
	for i := range r.Services {
		fmt.Fprintln(t, row(r.Services[i].Name, &r.Services[i].Tally))
	}
	fmt.Fprintln(t, row("all", &r.All))
	fmt.Fprintln(t)
	printGroups(t, "MAY RUN IN", r.Regions)
	printGroups(t, "CUSTOMER", r.Customers)
	fmt.Fprintln(t, header("FROM"))
	for i := range r.Spans {
		fmt.Fprintln(t, row(r.Spans[i].Start.Format("15:04:05"), &r.Spans[i].Tally))
	}
	if r.Sampled > 0 {
		fmt.Fprintf(t, "\n%d of %d requests are represented by samples: their counts are estimates.\n", r.Sampled, r.All.Requests())
	}
	return t.Flush()
}

// printGroups writes a table of groups, unless there are none.
func printGroups(w io.Writer, title string, groups []Group) {
	if len(groups) == 0 {
		return
	}
	fmt.Fprintln(w, header(title))
	for i := range groups {
		fmt.Fprintln(w, row(groups[i].Name, &groups[i].Tally))
	}
	fmt.Fprintln(w)
}

// columns returns the names of the columns after the first one.
func columns() []string {
	names := []string{"requests"}
	names = append(names, outcomeNames[:]...)
	for _, c := range Causes {
		names = append(names, string(c))
	}
	return names
}

// cells returns the values of a row.
func cells(first string, t *Tally) []string {
	values := []string{first, fmt.Sprint(t.Requests())}
	for _, n := range t.Outcomes {
		values = append(values, fmt.Sprint(n))
	}
	for _, c := range Causes {
		values = append(values, fmt.Sprint(t.Causes[c]))
	}
	return values
}

func header(first string) string {
	return first + "\t" + strings.ToUpper(strings.Join(columns(), "\t"))
}

func row(first string, t *Tally) string { return strings.Join(cells(first, t), "\t") }
