// Package topology maps availability zones to regions, and blocks of client addresses to
// the nearest availability zone.
package topology

import (
	"net/netip"
	"sort"
)

// Zone is an availability zone and its region.
type Zone struct {
	Zone   string `json:"zone" yaml:"zone"`
	Region string `json:"region" yaml:"region"`
}

// Map holds the zones and client blocks of a deployment. It is immutable.
type Map struct {
	zones   []Zone
	regions []string
	byZone  map[string]int
	blocks  *BlockTable
}

// New makes a map from the deployment's zones and client blocks.
func New(zones []Zone, blocks []Block) *Map {
	m := &Map{zones: append([]Zone(nil), zones...), byZone: map[string]int{}}
	sort.Slice(m.zones, func(i, j int) bool { return m.zones[i].Zone < m.zones[j].Zone })
	seen := map[string]bool{}
	for i, z := range m.zones {
		m.byZone[z.Zone] = i
		if !seen[z.Region] {
			seen[z.Region] = true
			m.regions = append(m.regions, z.Region)
		}
	}
	sort.Strings(m.regions)
	m.blocks = NewBlockTable(blocks, func(zone string) (uint16, bool) {
		i, ok := m.byZone[zone]
		return uint16(i), ok
	})
	return m
}

// Zones returns the zones, sorted by name.
func (m *Map) Zones() []Zone { return m.zones }

// Regions returns the regions, sorted by name.
func (m *Map) Regions() []string { return m.regions }

// HasZone reports whether the zone exists.
func (m *Map) HasZone(zone string) bool { _, ok := m.byZone[zone]; return ok }

// HasRegion reports whether the region exists.
func (m *Map) HasRegion(region string) bool {
	i := sort.SearchStrings(m.regions, region)
	return i < len(m.regions) && m.regions[i] == region
}

// RegionOf returns the zone's region, or "" for an unknown zone.
func (m *Map) RegionOf(zone string) string {
	i, ok := m.byZone[zone]
	if !ok {
		return ""
	}
	return m.zones[i].Region
}

// ZoneOfClient returns the zone nearest to the client address. ok is false if no block
// contains the address.
func (m *Map) ZoneOfClient(client netip.Addr) (zone string, ok bool) {
	i, ok := m.blocks.Find(client)
	if !ok {
		return "", false
	}
	return m.zones[i].Zone, true
}
