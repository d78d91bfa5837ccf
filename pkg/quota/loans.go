package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// borrowTime is how far ahead an allocator borrows: a round trip between regions and the
	// time between two requests for a loan.
	borrowTime = 200 * time.Millisecond
	// borrowEvery is the least time between two times that it requests a customer's tokens from
	// other zones. It does so at each tick, and while requests wait, as soon as this allows.
	borrowEvery = 10 * time.Millisecond
	// loanTimeout is how long a loan request may take; a later answer is not used.
	loanTimeout = 300 * time.Millisecond
	// overRequest is the factor by which it requests more than it needs, since what others can
	// spare is known only as of a moment ago.
	overRequest = 1.5
	// leftPerToken is how many units of Tokens.Left make one token.
	leftPerToken = 10
	// maxRequested bounds the tokens of one loan request.
	maxRequested = 10_000
)

// loans are an allocator's loan requests to other zones.
type loans struct {
	// zones are the allocators of other zones, by zone.
	zones   map[string][]Box
	pending map[uint32]*pendingLoan
	number  uint32
}

// pendingLoan is a loan request that has not been answered.
type pendingLoan struct {
	zone   string
	from   uint64
	at     time.Time
	wanted Tokens
}

// bucketLoans is the state of the loans of one customer.
type bucketLoans struct {
	requestedAt time.Time
	// expected is the number of tokens in pending requests.
	expected int
	// spare is what other zones last reported that they could spare, by zone.
	spare map[string]spare
}

// spare is how many tokens a zone could spare at a time.
type spare struct {
	left float64
	at   time.Time
}

func newLoans() loans { return loans{pending: map[uint32]*pendingLoan{}} }

func newBucketLoans() bucketLoans { return bucketLoans{spare: map[string]spare{}} }

// spareOf returns how many tokens the zone may be able to spare: as many as it last reported
// and those that it has gained since.
func (a *allocator) spareOf(b *bucket, zone string) float64 {
	if len(a.loans.zones[zone]) == 0 || !slices.Contains(b.holders, zone) {
		return 0
	}
	s, ok := b.loans.spare[zone]
	if !ok {
		return b.holderMaxSaved
	}
	return min(b.holderMaxSaved, s.left+b.holderRate*a.now.Sub(s.at).Seconds())
}

// mayBorrow reports whether tokens may come from other zones.
func (a *allocator) mayBorrow(b *bucket) bool {
	if b.loans.expected > 0 {
		return true
	}
	for zone := range a.loans.zones {
		if a.spareOf(b, zone) >= 1 {
			return true
		}
	}
	return false
}

// need returns how many tokens the zone lacks: what its boxes want now, and what its clients
// are expected to request within borrowTime, as far as that can be saved. most is how many it
// has room for.
func (a *allocator) need(b *bucket, missing float64) (need, most float64) {
	ahead := max(b.demand.now(a.now), b.recent.now(a.now)) * borrowTime.Seconds()
	got := b.tokens + float64(b.loans.expected)
	need = missing + min(b.maxSaved, ahead-float64(b.heldByBoxes)) - got
	return need, missing + b.maxSaved - got
}

// missing returns how many tokens the boxes that are short would be granted now: those that
// their requests wait for, and those that they want to hold, as far as the zone's boxes may
// hold them. Borrowing all that they want would lose every second token in a zone without a
// share.
func (b *bucket) missing() float64 {
	needed, stock := 0, 0
	for _, l := range b.short {
		n := l.needed()
		needed += n
		stock += l.missing() - n
	}
	return float64(needed + max(0, min(stock, int(b.maxHeld)-b.heldByBoxes)))
}

// borrow requests what the zone lacks from other zones, first from those that can spare most.
// It does not request what the zone could not save, since that would be lost.
func (a *allocator) borrow(b *bucket) {
	if a.now.Sub(b.loans.requestedAt) < borrowEvery || !b.isLow() {
		return
	}
	missing := b.missing()
	need, most := a.need(b, missing)
	if need < 1 && (missing == 0 || b.loans.expected > 0) {
		return
	}
	b.loans.requestedAt = a.now
	wanted := max(1, min(math.Ceil(overRequest*need), math.Floor(most)))
	for _, zone := range a.zonesBySpare(b) {
		n := min(wanted, math.Floor(a.spareOf(b, zone)), maxRequested)
		if wanted <= 0 || n < 1 {
			return
		}
		wanted -= n
		a.requestLoan(b, zone, uint16(n))
	}
}

// zonesBySpare returns the other zones, sorted by how much they may be able to spare, most
// first.
func (a *allocator) zonesBySpare(b *bucket) []string {
	zones := slices.Sorted(maps.Keys(a.loans.zones))
	slices.SortStableFunc(zones, func(x, y string) int {
		return cmp.Compare(a.spareOf(b, y), a.spareOf(b, x))
	})
	return zones
}

func (a *allocator) requestLoan(b *bucket, zone string, count uint16) {
	boxes := a.loans.zones[zone]
	keys := make([]uint64, len(boxes))
	for i := range boxes {
		keys[i] = boxes[i].Key
	}
	key := owner(b.id, keys)
	for _, to := range boxes {
		if to.Key != key {
			continue
		}
		a.loans.number++
		wanted := Tokens{ID: b.id, Count: count}
		a.loans.pending[a.loans.number] = &pendingLoan{zone: zone, from: key, at: a.now, wanted: wanted}
		b.loans.expected += int(count)
		b.loans.spare[zone] = spare{left: max(0, a.spareOf(b, zone)-float64(count)), at: a.now}
		a.send(to, Message{LoanRequest: &LoanRequest{Number: a.loans.number, Wanted: []Tokens{wanted}}})
	}
}

// lend answers another zone's loan request with tokens that this zone does not need itself.
func (a *allocator) lend(from Box, m *LoanRequest) {
	loan := &Loan{Number: m.Number}
	for _, t := range m.Wanted {
		b := a.bucket(t.ID)
		n, left := 0, 0.0
		if b != nil && len(b.short) == 0 {
			left = max(0, b.tokens-min(b.demand.now(a.now), b.recent.now(a.now))*reserveTime.Seconds())
			n = min(int(t.Count), int(left))
			b.tokens -= float64(n)
			left -= float64(n)
		}
		loan.Tokens = append(loan.Tokens, Tokens{ID: t.ID, Count: uint16(n), Left: uint16(min(left*leftPerToken, math.MaxUint16))})
	}
	a.send(from, Message{Loan: loan})
}

// receiveLoan handles an answer to a loan request. An answer counts once, and only within
// loanTimeout: a token that was long in transit belongs to an earlier window.
func (a *allocator) receiveLoan(from Box, m *Loan) {
	p := a.loans.pending[m.Number]
	if p == nil || p.from != from.Key {
		return
	}
	delete(a.loans.pending, m.Number)
	b := a.bucket(p.wanted.ID)
	if b == nil {
		return
	}
	b.loans.expected -= int(p.wanted.Count)
	for _, t := range m.Tokens {
		if t.ID == p.wanted.ID {
			b.tokens += float64(min(t.Count, p.wanted.Count))
			b.loans.spare[p.zone] = spare{left: float64(t.Left) / leftPerToken, at: a.now}
		}
	}
	a.serveShort(b)
	b.tokens = min(b.tokens, b.maxSaved)
	if len(b.short) > 0 {
		a.borrow(b)
	}
}

// expireLoans gives up loan requests that were not answered. A zone that does not answer is
// treated as having nothing to spare.
func (a *allocator) expireLoans() {
	for number, p := range a.loans.pending {
		if a.now.Sub(p.at) <= loanTimeout {
			continue
		}
		delete(a.loans.pending, number)
		if b := a.buckets[p.wanted.ID]; b != nil {
			b.loans.expected -= int(p.wanted.Count)
			b.loans.spare[p.zone] = spare{at: a.now}
			a.serveShort(b)
		}
	}
}
