package decide

import "net/netip"

// MaxEntries is the maximum number of boxes in an answer to a look-up.
const MaxEntries = 6

// loadSteps is the number of steps into which loads are rounded when entries are
// ordered, so that small differences do not send every client to the same box.
const loadSteps = 4

// Entries returns the boxes that a client should use, best first: those of its zone,
// then of its region, then all others. Within each group the least loaded come first,
// and equally loaded ones in an order that depends on the client, so that clients
// spread. Farther boxes are considered only if there are fewer than MaxEntries nearer
// ones.
func (s *Snapshot) Entries(client netip.Addr, service string) []*BoxView {
	zone := s.Zone
	if z, ok := s.Topology.ZoneOfClient(client); client.IsValid() && ok {
		zone = z
	}
	region := s.Topology.RegionOf(zone)
	seed := clientHash(client)
	p := picker{entries: make([]*BoxView, 0, MaxEntries), seed: seed}
	p.add(s.Boxes[zone])
	p.seal()
	for _, z := range s.Topology.Zones() {
		if z.Region == region && z.Zone != zone && !p.full() {
			p.add(s.Boxes[z.Zone])
		}
	}
	p.seal()
	for _, z := range s.Topology.Zones() {
		if z.Region != region && !p.full() {
			p.add(s.Boxes[z.Zone])
		}
	}
	return p.entries
}

// picker keeps the best MaxEntries of the boxes added. Entries before sealed keep
// their positions.
type picker struct {
	entries []*BoxView
	sealed  int
	seed    uint64
}

func (p *picker) full() bool { return p.sealed == MaxEntries }

func (p *picker) seal() { p.sealed = len(p.entries) }

func (p *picker) add(boxes []*BoxView) {
	for _, b := range boxes {
		if !b.Leaving {
			p.insert(b)
		}
	}
}

// insert adds a box in order, and drops the last one if there are more than MaxEntries.
func (p *picker) insert(b *BoxView) {
	at := len(p.entries)
	for at > p.sealed && p.better(b, p.entries[at-1]) {
		at--
	}
	if at == MaxEntries {
		return
	}
	if len(p.entries) < MaxEntries {
		p.entries = append(p.entries, nil)
	}
	copy(p.entries[at+1:], p.entries[at:])
	p.entries[at] = b
}

func (p *picker) better(a, b *BoxView) bool {
	if x, y := int(a.Load*loadSteps), int(b.Load*loadSteps); x != y {
		return x < y
	}
	return mix(p.seed^a.hash) < mix(p.seed^b.hash)
}

func clientHash(client netip.Addr) uint64 {
	b := client.As16()
	h := uint64(14695981039346656037)
	for _, x := range b {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return mix(h)
}
