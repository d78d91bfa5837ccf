package decide

import "net/netip"

// Request holds the properties of a request that a routing decision depends on.
type Request struct {
	// Client is the caller's address, or the zero value if it is unknown.
	Client netip.Addr
	// Spread selects among equal candidates; it may be any number, such as a hash of
	// the request's id.
	Spread uint64
	// Tried lists the boxes that have refused this request.
	Tried [2]string
}

// Reason is the reason for a decision.
type Reason string

// The reasons of decisions.
const (
	// OwnZone means that a box of this availability zone serves the request.
	OwnZone Reason = "own_zone"
	// SameRegion means that another zone of this box's region serves it.
	SameRegion Reason = "same_region"
	// AssignedRegion means that another region serves the client's bucket.
	AssignedRegion Reason = "assigned_region"
	// NoZone means that no zone of the serving region can be used.
	NoZone Reason = "no_zone"
)

// Decision is the result of routing a request.
type Decision struct {
	// ClientRegion is the client's region, and Region is the region that serves it.
	ClientRegion string
	Region       string
	Zone         string
	// Box is nil if nothing can serve the request.
	Box    *BoxView
	Bucket int
	Reason Reason
}

// BucketOf returns the bucket of a client address.
func BucketOf(client netip.Addr) int {
	b := client.As16()
	var hi, lo uint64
	for i := range 8 {
		hi = hi<<8 | uint64(b[i])
		lo = lo<<8 | uint64(b[i+8])
	}
	return int(mix(hi^mix(lo)) % Buckets)
}

// ClientRegion returns the region that the client belongs to. A client in no known
// address block belongs to this box's region.
func (s *Snapshot) ClientRegion(client netip.Addr) string {
	if client.IsValid() {
		if zone, ok := s.Topology.ZoneOfClient(client); ok {
			return s.Topology.RegionOf(zone)
		}
	}
	return s.Region
}

// Route selects the box that admits the request to its zone's backend servers.
// It does not allocate.
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

// servingRegion returns the region that serves a bucket of a client region: the region
// in the assignment, else the client's own region, or, if that has no backend servers,
// a region selected by the hash of the bucket.
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

// routeOwnZone keeps the request in this zone if possible: at this box if it is a home
// of the zone's backend servers, else at another home with free slots.
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

// routeOtherZone selects the zone of the serving region whose candidate box has the
// largest free share of its slots, and that box.
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

// pickHome returns the box with more free slots of two that the request's spread
// selects.
func pickHome(z *ZoneView, v *ServiceView, r *Request) *BoxView {
	n := uint64(len(z.Homes))
	if n == 0 {
		return nil
	}
	start := r.Spread % n
	var best *BoxView
	considered := 0
	for i := uint64(0); i < n && considered < 2; i++ {
		b := z.Homes[(start+i)%n]
		if r.tried(b.Box) {
			continue
		}
		considered++
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
