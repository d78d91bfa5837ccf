package decide

import "net/netip"

// Request is what a routing decision looks at.
type Request struct {
	// Client is the caller's address; the zero value if it is not known.
	Client netip.Addr
	// Spread picks among equals; any number, such as a hash of the request's id.
	Spread uint64
	// Tried holds the boxes that have refused this request.
	Tried [2]string
}

// Reason says why a decision fell as it did.
type Reason string

// The reasons of decisions.
const (
	// OwnZone: this box's own availability zone has free slots.
	OwnZone Reason = "own_zone"
	// SameRegion: another zone of this box's region serves it.
	SameRegion Reason = "same_region"
	// AssignedRegion: the client's bucket is assigned to another region.
	AssignedRegion Reason = "assigned_region"
	// NoZone: no zone of the assigned region can be used.
	NoZone Reason = "no_zone"
)

// Decision is where a request goes.
type Decision struct {
	// ClientRegion is the client's region, and Region the one that serves it.
	ClientRegion string
	Region       string
	Zone         string
	// Box is nil if nothing can serve the request.
	Box    *BoxView
	Bucket int
	Reason Reason
}

// BucketOf returns the bucket of a client.
func BucketOf(client netip.Addr) int {
	b := client.As16()
	var hi, lo uint64
	for i := range 8 {
		hi = hi<<8 | uint64(b[i])
		lo = lo<<8 | uint64(b[i+8])
	}
	return int(mix(hi^mix(lo)) % Buckets)
}

// ClientRegion returns the region that the client belongs to; clients whose
// block is not known belong to the deciding box's region.
func (s *Snapshot) ClientRegion(client netip.Addr) string {
	if client.IsValid() {
		if zone, ok := s.Topology.ZoneOfClient(client); ok {
			return s.Topology.RegionOf(zone)
		}
	}
	return s.Region
}

// Route decides which box admits the request to its zone's backend servers.
// It allocates nothing.
func (s *Snapshot) Route(v *ServiceView, r *Request) Decision {
	d := Decision{}
	if r.Client.IsValid() {
		d.Bucket = BucketOf(r.Client)
	}
	d.ClientRegion = s.ClientRegion(r.Client)
	d.Region = s.servingRegion(v, d.ClientRegion, d.Bucket)
	if d.Region == s.Region {
		if z := v.Zones[s.Zone]; z != nil && s.routeOwnZone(z, v, r, &d) {
			return d
		}
	}
	s.routeOtherZone(v, r, &d)
	return d
}

// servingRegion returns the region that serves a bucket of a client region:
// what the assignment says, or the client's own region, or, where that has no
// backend servers, the region its name falls to by hash.
func (s *Snapshot) servingRegion(v *ServiceView, region string, bucket int) string {
	if a := v.Assign[region]; a != nil && a[bucket] != "" {
		return a[bucket]
	}
	if len(v.regions) == 0 {
		return ""
	}
	for _, r := range v.regions {
		if r == region {
			return r
		}
	}
	return v.regions[mix(uint64(bucket))%uint64(len(v.regions))]
}

// routeOwnZone keeps the request in this zone if it has free slots, at this
// box or at another home of the zone's backend servers.
func (s *Snapshot) routeOwnZone(z *ZoneView, v *ServiceView, r *Request, d *Decision) bool {
	for _, b := range z.Homes {
		if b.Box == s.Self && !r.tried(b.Box) {
			d.Zone, d.Box, d.Reason = s.Zone, b, OwnZone
			return true
		}
	}
	if b := pickHome(z, v, r); b != nil && free(b, v) > 0 {
		d.Zone, d.Box, d.Reason = s.Zone, b, OwnZone
		return true
	}
	return false
}

// routeOtherZone picks the zone of the serving region with the largest free
// share, and a box there.
func (s *Snapshot) routeOtherZone(v *ServiceView, r *Request, d *Decision) {
	d.Reason = NoZone
	best := -1.0
	for _, z := range s.Topology.Zones() {
		view := v.Zones[z.Zone]
		if view == nil || view.Region != d.Region {
			continue
		}
		b := pickHome(view, v, r)
		if b == nil {
			continue
		}
		share := float64(free(b, v)+1) / float64(b.Share[v.Spec.Name]+1)
		if share > best {
			best = share
			d.Zone, d.Box = z.Zone, b
		}
	}
	if d.Box == nil {
		return
	}
	d.Reason = AssignedRegion
	if d.Region == s.Region {
		d.Reason = SameRegion
	}
}

// pickHome takes the freer of two boxes picked by the request's spread.
func pickHome(z *ZoneView, v *ServiceView, r *Request) *BoxView {
	n := uint64(len(z.Homes))
	if n == 0 {
		return nil
	}
	start := r.Spread % n
	var best *BoxView
	looked := 0
	for i := uint64(0); i < n && looked < 2; i++ {
		b := z.Homes[(start+i)%n]
		if r.tried(b.Box) {
			continue
		}
		looked++
		if best == nil || free(b, v) > free(best, v) {
			best = b
		}
	}
	return best
}

func free(b *BoxView, v *ServiceView) int { return b.Free[v.Spec.Name] }

func (r *Request) tried(box string) bool {
	return r.Tried[0] == box || r.Tried[1] == box
}
