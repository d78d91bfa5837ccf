package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/topology"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Cuts between regions, and requests that are restricted to some regions.
// ================================================================

// threeRegions are the zones of runs whose catalogue has cuts between regions, so that a third
// region can help two others past a cut.
var threeRegions = []topology.Zone{
	{Zone: "east-a", Region: "east"}, {Zone: "west-a", Region: "west"}, {Zone: "north-a", Region: "north"},
}

const (
	// regionCutFactor times the event's duration is how long regions are cut from each other.
	regionCutFactor = 2
	// restrictedClientsEach is how many clients of each box send restricted requests.
	restrictedClientsEach = 2
	// proxyHost and serverHost are the last octets of the servers' addresses in the first region,
	// with and without a proxy; each further region has the next ones.
	proxyHost  = 150
	serverHost = 100
)

// zonesOf returns the zones of a run that draws from the catalogue.
func zonesOf(kinds Catalogue) []topology.Zone {
	if slices.Contains(kinds, RegionsCut) {
		return threeRegions
	}
	return machines.Zones
}

// hasRestrictions reports whether clients of the run also send restricted requests.
func (p *Plan) hasRestrictions() bool { return len(p.regions()) > 2 }

// regions returns the regions of the plan's zones, each once.
func (p *Plan) regions() (list []string) {
	for _, z := range p.Zones {
		if !slices.Contains(list, z.Region) {
			list = append(list, z.Region)
		}
	}
	return list
}

// regionOf returns the region of a zone.
func (p *Plan) regionOf(zone string) string {
	return p.Zones[slices.IndexFunc(p.Zones, func(z topology.Zone) bool { return z.Zone == zone })].Region
}

// hostIn returns an IP address for the servers of a zone, counted from the last octet of the first
// region's. Without restrictions the servers of all regions share it.
func (r *run) hostIn(zone string, first int) string {
	if r.Plan.hasRestrictions() {
		first += slices.Index(r.Plan.regions(), r.Plan.regionOf(zone))
	}
	return fmt.Sprintf("%s.%d", r.Network, first)
}

// ----------------------------------------------------------------
// Cuts
// ----------------------------------------------------------------

// regionCut is a cut of the links from the boxes of a region to the servers and boxes of another.
type regionCut struct{ from, to string }

// regionCuts returns the cuts of an event: of each region from each other, or between two regions in
// one direction or both.
func (p *Plan) regionCuts(e Event) (cuts []regionCut) {
	regions := p.regions()
	first := e.Target / 4 % len(regions)
	one, other := regions[first], regions[(first+1)%len(regions)]
	switch e.Target % 4 {
	case 0:
		for _, from := range regions {
			for _, to := range regions {
				if from != to {
					cuts = append(cuts, regionCut{from, to})
				}
			}
		}
		return cuts
	case 1:
		return []regionCut{{one, other}}
	case 2:
		return []regionCut{{other, one}}
	default:
		return []regionCut{{one, other}, {other, one}}
	}
}

// cutRegions silences the links between regions. Datagrams between boxes still arrive.
func (r *run) cutRegions(e Event) {
	cuts := r.Plan.regionCuts(e)
	end := r.beginFault(RegionsCut, "")
	r.countCuts(cuts, 1)
	r.later(regionCutFactor*e.Duration, func() {
		r.countCuts(cuts, -1)
		end()
	})
}

// countCuts adds cuts to those in force, or takes them back, and sets the links of all boxes.
func (r *run) countCuts(cuts []regionCut, change int) {
	r.update(func(*History) {
		for _, c := range cuts {
			r.cuts[c] += change
		}
		for _, b := range r.boxes {
			if err := b.CutFromHosts(r.hostsCutFrom(r.Plan.regionOf(b.Zone))); err != nil {
				fmt.Fprintf(r.Out, "setting the links of %s failed: %v\n", b.Name, err)
			}
		}
	})
}

// hostsCutFrom returns the IP addresses that the boxes of a region are cut off from.
func (r *run) hostsCutFrom(region string) (hosts []string) {
	for _, z := range r.Plan.Zones {
		if r.cuts[regionCut{region, z.Region}] == 0 {
			continue
		}
		hosts = append(hosts, r.hostIn(z.Zone, proxyHost), r.hostIn(z.Zone, serverHost))
		for _, b := range r.boxes {
			if b.Zone == z.Zone {
				hosts = append(hosts, b.IP)
			}
		}
	}
	return hosts
}

// ----------------------------------------------------------------
// Restricted requests
// ----------------------------------------------------------------

// farService is a service whose servers stand in farRegion only, so that all other regions send it
// requests, restricted ones and others, over the links between regions.
const (
	farService = "press"
	farRegion  = "west"
)

// servicesIn returns the services that have servers in a zone.
func (p *Plan) servicesIn(zone string) []string {
	if p.hasRestrictions() && p.regionOf(zone) == farRegion {
		return append(slices.Clone(services), farService)
	}
	return services
}

// restrictedCustomer is a customer whose requests may run in restrictedCustomerRegions only.
const restrictedCustomer = "archive"

var restrictedCustomerRegions = []string{"east", "north"}

// restrictedRoutes are routes of which all but the first allow some regions only.
var restrictedRoutes = []machines.Route{
	{Prefix: "/far/", Kind: "safe", Service: farService, TimeoutMS: 1200},
	{Prefix: "/west/", Kind: "unsafe", Service: farService, TimeoutMS: 1200, Regions: []string{farRegion}},
	{Prefix: "/abroad/", Kind: "safe", Service: "shop", TimeoutMS: 1200, Regions: []string{"west", "north"}},
}

// restriction is a kind of restricted requests.
type restriction struct {
	route    *machines.Route
	customer string
	// regions are those that the route and the customer both allow; nil means all.
	regions []string
}

var restrictions = []restriction{
	{&restrictedRoutes[0], usualCustomer, nil},
	{&restrictedRoutes[1], usualCustomer, []string{farRegion}},
	{&restrictedRoutes[2], usualCustomer, []string{"west", "north"}},
	{&restrictedRoutes[2], restrictedCustomer, []string{"north"}},
	{&routes[0], restrictedCustomer, restrictedCustomerRegions},
	{&routes[1], restrictedCustomer, restrictedCustomerRegions},
}

// restrictedClient sends restricted requests and those to farService to one box until the end.
func (r *run) restrictedClient(b *processes.Box, random *rand.Rand, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for ; time.Now().Before(end); time.Sleep(clientPause) {
		x := &restrictions[random.Intn(len(restrictions))]
		q := newRequest(b, x.route, random)
		q.Customer, q.Regions = x.customer, x.regions
		recordAnswer(c, &q, c.Do(q.Method, q.Target, q.ID, q.Body, customerRequestHeaders(x.customer, random)))
		r.update(func(h *History) {
			// Where no server may run them, they do not count in the recovery.
			if r.hasServer(x) {
				h.Requests = append(h.Requests, q)
			} else {
				h.SideRequests = append(h.SideRequests, q)
			}
		})
	}
}

// hasServer reports whether there are servers that may run such requests. The caller holds the lock.
func (r *run) hasServer(x *restriction) bool {
	return slices.ContainsFunc(r.servers, func(s *listedServer) bool {
		return s.service == x.route.Service && (x.regions == nil || slices.Contains(x.regions, r.Plan.regionOf(s.zone)))
	})
}

// ----------------------------------------------------------------
// Checks
// ----------------------------------------------------------------

// restrictedArrival is an arrival of a restricted request at a server.
type restrictedArrival struct {
	request *Request
	server  string
	from    string
}

// restrictedArrivals returns the arrivals of restricted requests at servers, executed or not.
func (h *History) restrictedArrivals() (list []restrictedArrival) {
	restricted := map[string]*Request{}
	for _, requests := range [][]Request{h.Requests, h.SideRequests} {
		for i := range requests {
			if len(requests[i].Regions) > 0 {
				restricted[requests[i].ID] = &requests[i]
			}
		}
	}
	for server, arrivals := range h.Arrivals {
		for _, a := range arrivals {
			if q := restricted[a.ID]; q != nil {
				list = append(list, restrictedArrival{q, server, a.From})
			}
		}
	}
	return list
}

// regionServers finds restricted requests that reached servers of other regions.
func regionServers(h *History) (found []string) {
	for _, a := range h.restrictedArrivals() {
		if region := h.RegionOf[a.server]; !slices.Contains(a.request.Regions, region) {
			found = append(found, fmt.Sprintf("%s, restricted to %v, reached %s in the region %s", a.request.ID, a.request.Regions, a.server, region))
		}
	}
	return found
}

// regionBoxes finds restricted requests that passed through boxes of other regions, beside the box
// that the client sent them to.
func regionBoxes(h *History) (found []string) {
	for _, a := range h.restrictedArrivals() {
		if region := h.RegionOf[a.from]; a.from != a.request.Box && !slices.Contains(a.request.Regions, region) {
			found = append(found, fmt.Sprintf("%s, sent to %s in the region %s and restricted to %v, passed through %s in the region %s",
				a.request.ID, a.request.Box, h.RegionOf[a.request.Box], a.request.Regions, a.from, region))
		}
	}
	return found
}
