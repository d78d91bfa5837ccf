package decide

import "net/netip"

// MaxEntries bounds the boxes named in one answer to a look-up.
const MaxEntries = 6

// loadSteps is how finely loads are told apart when entries are ordered, so
// that small differences do not send every client to one box.
const loadSteps = 4

// Entries returns the boxes a client should use, best first: those of its own
// zone, then of its region, then others; within each, the least loaded first,
// and equals in an order of the client's own, so that clients spread. Boxes
// farther away are looked at only if those nearer are too few.
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

// picker keeps the best boxes of those added. Boxes before the seal stay
// where they are.
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

// insert puts a box in its place; the last one falls out if there are too many.
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
