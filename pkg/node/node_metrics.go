package node

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metric describes a family of metrics.
type Metric struct {
	// Name is the family's name. A last part in capitals is a placeholder, so that the family
	// has several members.
	Name string
	// Unit is what is counted or measured.
	Unit    string
	Meaning string
}

// holds reports whether a metric belongs to the family.
func (m *Metric) holds(name string) bool {
	last := strings.LastIndexByte(m.Name, '.')
	if placeholder := m.Name[last+1:]; placeholder != strings.ToUpper(placeholder) {
		return name == m.Name
	}
	return strings.HasPrefix(name, m.Name[:last+1])
}

// MetricTable is the single list of the metrics that a box serves on its admin address.
// docs/METRICS.md is generated from it.
var MetricTable = []Metric{
	{"answered", "requests", "answered by a backend server"},
	{"failed.REASON", "requests", "answered by the box itself, by reason; callers.md lists them"},
	{"config.refused", "configurations", "that do not parse or make no sense; the last good one stays in force"},
	{"customer.refused.NAME", "requests", "over their customer's limit, of the first 100 that were refused any; of all others together under others"},
	{"customer.worst_tenth", "share", "of the requests of the worst-served tenth of this box's customers that were answered within their target, lately"},
	{"request.SERVICE", "milliseconds", "from a request's arrival to its answer, of the first 100 services; of all others together under others"},
	{"quota.sent", "datagrams", "of limits of customers and backend servers, to other boxes"},
	{"findings.sent", "findings", "of backend servers that are gone, told to other boxes"},
	{"findings.received", "findings", "of backend servers that are gone, told by other boxes"},
	{"quarantine.held", "requests", "that are kept from backend servers, since servers crashed under them"},
	{"quarantine.sent", "records", "of requests that were at servers when they crashed, told to other boxes"},
	{"quarantine.received", "records", "of requests that were at servers when they crashed, told by other boxes"},
	{"limits.answers", "answers", "in which a backend server names how many requests a second it takes from all boxes together"},
	{"limits.unread", "answers", "in which that cannot be read"},
	{"limits.admitted", "requests", "that took their part of the limit of a backend server"},
	{"limits.denied", "times", "a request passed a backend server over whose limit left no room"},
	{"limits.yielded", "times", "a request passed a backend server over that names a limit, since more urgent ones lately found no room there"},
	{"statuses.sent", "records", "of what backend servers say, limits and leaving, told to other boxes"},
	{"statuses.received", "records", "of what backend servers say, limits and leaving, told by other boxes"},
	{"words.leaving", "answers", "in which a backend server says that it leaves"},
	{"words.rest", "answers", "in which a backend server turns a request away and wants no others from this box for a time"},
	{"words.unread", "headers", "of answers that say something of the server which cannot be read"},
	{"relay.asked", "connections", "to backend servers that another box was asked for, since this box's own link does not work or answers late"},
	{"relay.broken", "links", "to backend servers found to be broken, since other boxes reach the server"},
	{"relay.restored", "links", "to backend servers that work again"},
	{"relay.served", "connections", "to backend servers passed on for other boxes"},
	{"relay.refused", "connections", "not passed on, since this box is busy or leaving, or its own link may not work"},
	{"relay.failed", "connections", "not passed on, since the backend server could not be reached"},
	{"relay.outside_regions", "connections", "opened for requests bound to regions through a box outside the server's region, and not used; it must stay 0"},
	{"rollouts.sent", "reports", "of how a new version of a service's servers fares, told to the boxes that ask the store"},
	{"rollouts.told", "messages", "of how far orders to move services to new versions have come, to other boxes"},
	{"rollouts.step", "steps", "that this box has taken, by which a new version of a service's servers gets a larger share of the requests"},
	{"rollouts.wait", "waits", "that this box has begun since a new version has too few servers, slots or answers for its next step, or is held"},
	{"rollouts.bad", "versions", "that this box has found to be bad"},
	{"machine.RESOURCE", "share", "of what the box may use of its machine that it uses, where the settings give the size: processor, link_in, link_out, memory, descriptors"},
	{"memory.live", "bytes", "of the heap that the last garbage collection found in use"},
	{"suspended", "milliseconds", "for which the machine was suspended, in sum"},
	{"heartbeats.unsent", "datagrams", "to other boxes not sent, since the address cannot be reached or the link is full"},
	{"heartbeats.unread", "datagrams", "that are no heartbeats of this version"},
	{"mirror.pulls.WHERE", "pulls", "of what the store holds, from boxes of the own zone or far ones"},
	{"mirror.objects.KIND", "bytes", "names and contents of the objects in the box's copy of a kind"},
	{"mirror.kept.KIND", "bytes", "of what is kept for other boxes of the changes of a kind"},
	{"mirror.changes.KIND", "changes", "of a kind that are kept for other boxes"},
	{"mirror.sent.FORM", "bytes", "of copies handed to other boxes, as changes or whole"},
	{"uploads.answered_early", "requests", "whose answer began before the end of their body"},
	{"pipeline.ahead", "requests", "served at the same time as one that their client has sent before them on the same connection"},
	{"pipeline.mismatch", "connections", "on which net/http read another request than was served ahead; its service was stopped"},
	{"retry.sent", "requests", "sent to a second backend server after a first had got them"},
	{"refused.shortage", "requests", "refused since the server of the key is full and requests wait at most servers of its region"},
	{"retry.left_to_client", "requests", "shed by a server with free slots and refused so that the client returns, since the rest of the retry budget is reserved for returns"},
	{"retry.denied", "requests", "not sent again, since the budget was spent"},
	{"store.list", "calls", "lists asked of the store, page by page"},
	{"store.watch", "calls", "watches asked of the store"},
	{"store.unread", "objects", "of the store that cannot be read, or name no server; the others hold"},
	{"store.create", "calls", "objects written to the store: requests that are kept from servers"},
	{"store.remove", "calls", "objects removed from the store: requests that are kept no longer"},
	{"store.status", "calls", "that note in the store how far an order to move a service to a version has come"},
	{"store.polls", "calls", "of a box that leaves the store to others and had no word of the list of servers, or of the configuration, for long"},
	{"store.eras", "times", "the store has come back from an older copy"},
	{"store.answered_ago.KIND", "milliseconds", "since the store last answered this box for a kind of objects, at a box that asks it"},
	{"connections.first_byte", "milliseconds", "from accepting a connection to its first byte"},
	{"connections.unanswered", "connections", "that the box has closed after it had read of a request and written no answer"},
	{"connections.refused", "connections", "of clients closed at once, since the box has nearly as many descriptors open as it may"},
	{"connections.refused_other.PORT", "connections", "at the port for peers, admin, ready or directory closed at once, since a quarter of the descriptors is open there, or nearly all are in use"},
	{"heads.refused", "times", "a head, a part of one or a request read before its turn got no memory; a refused head is answered 503 and its connection closed"},
	{"backend.RESULT", "exchanges", "ended, by result: answered, shed, unreachable, refused, broken, late, stale, abandoned, withdrawn, crashed, no_path, path_lost"},
	{"backend.connections", "connections", "opened to backend servers"},
	{"backend.remote", "exchanges", "with backend servers of other regions"},
}

// quantiles are the quantiles reported for timers.
var quantiles = []float64{0.5, 0.9, 0.99}

// serveMetrics serves all metrics, one per line: the name with its unit, and the value.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeMetrics(w, n.Metrics)
}

func writeMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, metric any) {
		flat := "stoneworks_" + strings.ReplaceAll(name, ".", "_")
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d", flat, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s_%s %d", flat, gaugeUnit(name), m.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s_share %.3f", flat, m.Value()))
		case metrics.Timer:
			t := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_total %d", flat, t.Count()))
			for _, q := range quantiles {
				ms := t.Percentile(q) / float64(time.Millisecond)
				lines = append(lines, fmt.Sprintf("%s_milliseconds{quantile=\"%g\"} %.3f", flat, q, ms))
			}
		}
	})
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// gaugeUnit returns the unit with which a gauge's name ends.
func gaugeUnit(name string) string {
	for _, m := range MetricTable {
		if m.holds(name) && (m.Unit == "bytes" || m.Unit == "changes") {
			return m.Unit
		}
	}
	return "milliseconds"
}

// WriteMetricTable writes the table of metrics as a Markdown page.
func WriteMetricTable(w io.Writer) {
	fmt.Fprint(w, "# Metrics\n\nWritten by `stoneworksd --metrics`; a test keeps it so. A box tells them on its\n"+
		"admin address under /metrics, a line each: `stoneworks_` and the name with `_`\n"+
		"for dots, then `_total` for what is counted, `_milliseconds` for times, `_share` for shares, and `_bytes` or\n"+
		"`_changes` for how much of these is held.\n\n"+
		"| Name | Unit | Meaning |\n|---|---|---|\n")
	for _, m := range MetricTable {
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", m.Name, m.Unit, m.Meaning)
	}
}
