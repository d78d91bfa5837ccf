package topology

import (
	"net/netip"
	"sort"
)

// Block is a block of client addresses and its nearest availability zone.
type Block struct {
	Prefix string `json:"prefix" yaml:"prefix"`
	Zone   string `json:"zone" yaml:"zone"`
}

// noZone marks a range of addresses that no block contains.
const noZone = ^uint16(0)

// BlockTable maps addresses to indexes of zones by longest prefix. The prefixes are
// converted once into ranges that do not overlap. A look-up of an IPv4 address reads an
// index by its upper 16 bits and does a short binary search; one of an IPv6 address is a
// binary search.
//
// It uses 6 bytes a range for IPv4, 18 bytes a range for IPv6, and 256 KiB for the index.
type BlockTable struct {
	starts4 []uint32
	zones4  []uint16
	// index4[h] is the number of IPv4 ranges that start below h<<16.
	index4  []uint32
	starts6 [][16]byte
	zones6  []uint16
}

type span struct {
	first, last netip.Addr
	bits        int
	zone        uint16
}

// NewBlockTable makes a table of the blocks. It skips blocks that cannot be parsed or
// whose zone has no index, since the settings are checked before.
func NewBlockTable(blocks []Block, zoneIndex func(string) (uint16, bool)) *BlockTable {
	var v4, v6 []span
	for _, b := range blocks {
		p, err := netip.ParsePrefix(b.Prefix)
		zone, ok := zoneIndex(b.Zone)
		if err != nil || !ok {
			continue
		}
		p = p.Masked()
		s := span{first: p.Addr(), last: lastAddr(p), bits: p.Bits(), zone: zone}
		if p.Addr().Is4() {
			v4 = append(v4, s)
		} else {
			v6 = append(v6, s)
		}
	}
	t := &BlockTable{}
	flatten(v4, func(start netip.Addr, zone uint16) {
		b := start.As4()
		t.starts4 = append(t.starts4, uint32(b[0])<<24|uint32(b[1])<<16|uint32(b[2])<<8|uint32(b[3]))
		t.zones4 = append(t.zones4, zone)
	})
	flatten(v6, func(start netip.Addr, zone uint16) {
		t.starts6 = append(t.starts6, start.As16())
		t.zones6 = append(t.zones6, zone)
	})
	t.buildIndex()
	return t
}

func (t *BlockTable) buildIndex() {
	t.index4 = make([]uint32, 1<<16+1)
	i := 0
	for h := range t.index4 {
		for i < len(t.starts4) && uint64(t.starts4[i]) < uint64(h)<<16 {
			i++
		}
		t.index4[h] = uint32(i)
	}
}

// Find returns the index of the zone of the address. ok is false if no block contains
// the address.
func (t *BlockTable) Find(a netip.Addr) (zone int, ok bool) {
	a = a.Unmap()
	if a.Is4() {
		return t.find4(a)
	}
	k := a.As16()
	i := sort.Search(len(t.starts6), func(i int) bool { return less16(k, t.starts6[i]) }) - 1
	if i < 0 || t.zones6[i] == noZone {
		return 0, false
	}
	return int(t.zones6[i]), true
}

func (t *BlockTable) find4(a netip.Addr) (zone int, ok bool) {
	b := a.As4()
	k := uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
	lo, hi := t.index4[k>>16], t.index4[k>>16+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if t.starts4[mid] <= k {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 || t.zones4[lo-1] == noZone {
		return 0, false
	}
	return int(t.zones4[lo-1]), true
}

// flatten converts nested prefixes into consecutive ranges, and calls emit with the first
// address and the zone of each range.
func flatten(spans []span, emit func(netip.Addr, uint16)) {
	sort.Slice(spans, func(i, j int) bool {
		if c := spans[i].first.Compare(spans[j].first); c != 0 {
			return c < 0
		}
		return spans[i].bits < spans[j].bits
	})
	var open []span
	out := rangeWriter{emit: emit, last: noZone}
	put := out.put
	closeBefore := func(limit netip.Addr, all bool) {
		for len(open) > 0 {
			top := open[len(open)-1]
			if !all && top.last.Compare(limit) >= 0 {
				return
			}
			open = open[:len(open)-1]
			next := top.last.Next()
			if !next.IsValid() {
				return
			}
			zone := noZone
			if len(open) > 0 {
				zone = open[len(open)-1].zone
			}
			put(next, zone)
		}
	}
	for _, s := range spans {
		closeBefore(s.first, false)
		put(s.first, s.zone)
		open = append(open, s)
	}
	closeBefore(netip.Addr{}, true)
	out.flush()
}

// rangeWriter emits ranges in order. It omits empty ranges and merges adjacent ranges of
// the same zone.
type rangeWriter struct {
	emit    func(netip.Addr, uint16)
	last    uint16
	pending bool
	start   netip.Addr
	zone    uint16
}

func (w *rangeWriter) put(start netip.Addr, zone uint16) {
	if w.pending && start != w.start {
		w.flush()
	}
	w.pending, w.start, w.zone = true, start, zone
}

func (w *rangeWriter) flush() {
	if w.pending && w.zone != w.last {
		w.emit(w.start, w.zone)
		w.last = w.zone
	}
	w.pending = false
}

func lastAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := p.Bits(); i < len(b)*8; i++ {
		b[i/8] |= 1 << (7 - i%8)
	}
	a, _ := netip.AddrFromSlice(b)
	return a
}

func less16(a, b [16]byte) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
