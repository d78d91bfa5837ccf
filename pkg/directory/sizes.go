package directory

// Sizes are the two largest capacities of a set of boxes.
type Sizes struct {
	Largest, Second float64
	Boxes           int
}

// With returns the sizes of the set with one more box.
func (s Sizes) With(capacity float64) Sizes {
	s.Boxes++
	if capacity > s.Largest {
		s.Largest, s.Second = capacity, s.Largest
	} else {
		s.Second = max(s.Second, capacity)
	}
	return s
}

// sizesOf returns the sizes of the boxes of a list.
func sizesOf(list []*entry) (s Sizes) {
	for _, e := range list {
		s = s.With(e.capacity)
	}
	return s
}

// largeFraction is the fraction of the largest box's capacity that another box must have to be
// named beside it. Clients choose randomly among the named boxes, so a much smaller box would
// receive as many requests as the others. Also, few boxes with many requests each know more
// about the load of backend servers, and reuse connections more often, than many boxes with
// few.
const largeFraction = 0.5

// IsLarge reports whether a box is not much smaller than the largest one of a list, or than the
// second-largest one of its region if that is smaller. So a box that claims more than all others
// does not make these small.
func IsLarge(capacity float64, list, region Sizes) bool {
	most := list.Largest
	if region.Boxes >= minBoxes {
		most = min(most, region.Second)
	}
	return capacity >= largeFraction*most
}

// isUnlike reports whether boxes of the region are left out for their size.
func isUnlike(region []*entry) bool { return len(largest(region, region)) < len(region) }

// largest returns the large boxes of a list.
func largest(list, region []*entry) []*entry {
	listSizes, regionSizes := sizesOf(list), sizesOf(region)
	var large []*entry
	for _, e := range list {
		if IsLarge(e.capacity, listSizes, regionSizes) {
			large = append(large, e)
		}
	}
	return large
}
