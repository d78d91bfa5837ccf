package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// borrowTime is for how long ahead an allocator borrows: a way between regions
	// and back, and the time between two asks.
	borrowTime = 200 * time.Millisecond
	// borrowEvery is how often it asks other zones for a customer's tokens.
	borrowEvery = 10 * time.Millisecond
	// loanTime bounds how long an ask may take; what comes later is not used.
	loanTime = 300 * time.Millisecond
	// overAsk is by how much more it asks than it needs: what others spare is known as
	// it was a moment ago.
	overAsk = 1.5
	// leftUnit is how many units of Tokens.Left make a token.
	leftUnit = 10
	// mostAsked bounds one ask.
	mostAsked = 10_000
)

// loans are an allocator's asks to other zones.
type loans struct {
	// zones are the allocators of other zones, by zone.
	zones   map[string][]Box
	pending map[uint32]*pendingLoan
	number  uint32
}

// pendingLoan is an ask that has not been answered.
type pendingLoan struct {
	zone   string
	from   uint64
	at     time.Time
	wanted Tokens
}

// bucketLoans is what is under way for one customer.
type bucketLoans struct {
	askedAt time.Time
	// expected are the tokens that were asked for.
	expected int
	// spare is what other zones last told that they could spare.
	spare map[string]spare
}

// spare is a zone's last word.
type spare struct {
	left float64
	at   time.Time
}

func newLoans() loans { return loans{pending: map[uint32]*pendingLoan{}} }

func newBucketLoans() bucketLoans { return bucketLoans{spare: map[string]spare{}} }

// spareOf is how many tokens the zone may be able to spare: as many as it told, and
// those that it has got since.
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

// need is how many tokens the zone lacks: what its boxes want now, and what its
// clients will ask within borrowTime, as far as that can be saved.
func (a *allocator) need(b *bucket, missing float64) (need, most float64) {
	ahead := max(b.demand.now(a.now), b.recent.now(a.now)) * borrowTime.Seconds()
	got := b.tokens + float64(b.loans.expected)
	need = missing + min(b.maxSaved, ahead-float64(b.heldByBoxes)) - got
	return need, missing + b.maxSaved - got
}

// missing is what the boxes that are short would be granted now: what their requests wait for,
// and what they want to hold, as far as the zone's boxes may hold that. When all that they want
// was borrowed, a zone without a part lost each second token that it got.
func (b *bucket) missing() float64 {
	needed, stock := 0, 0
	for _, l := range b.short {
		n := l.needed()
		needed += n
		stock += l.missing() - n
	}
	return float64(needed + max(0, min(stock, int(b.maxHeld)-b.heldByBoxes)))
}

// borrow asks other zones for what the zone lacks, the richest first. What it could
// not save is not asked for: it would be lost.
func (a *allocator) borrow(b *bucket) {
	if a.now.Sub(b.loans.askedAt) < borrowEvery || !b.isLow() {
		return
	}
	missing := b.missing()
	need, most := a.need(b, missing)
	if need < 1 && (missing == 0 || b.loans.expected > 0) {
		return
	}
	b.loans.askedAt = a.now
	wanted := max(1, min(math.Ceil(overAsk*need), math.Floor(most)))
	for _, zone := range a.richest(b) {
		n := min(wanted, math.Floor(a.spareOf(b, zone)), mostAsked)
		if wanted <= 0 || n < 1 {
			return
		}
		wanted -= n
		a.ask(b, zone, uint16(n))
	}
}

// richest lists the other zones, those first that may have most to spare.
func (a *allocator) richest(b *bucket) []string {
	zones := slices.Sorted(maps.Keys(a.loans.zones))
	slices.SortStableFunc(zones, func(x, y string) int {
		return cmp.Compare(a.spareOf(b, y), a.spareOf(b, x))
	})
	return zones
}

func (a *allocator) ask(b *bucket, zone string, count uint16) {
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
		a.send(to, Message{Ask: &LoanRequest{Number: a.loans.number, Wanted: []Tokens{wanted}}})
	}
}

// lend answers another zone's ask with what this zone does not need itself.
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
		loan.Tokens = append(loan.Tokens, Tokens{ID: t.ID, Count: uint16(n), Left: uint16(min(left*leftUnit, math.MaxUint16))})
	}
	a.send(from, Message{Loan: loan})
}

// borrowed takes in what another zone lent. An answer counts once, and only within
// loanTime: a token that was long on its way belongs to an earlier window.
func (a *allocator) borrowed(from Box, m *Loan) {
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
			b.loans.spare[p.zone] = spare{left: float64(t.Left) / leftUnit, at: a.now}
		}
	}
	a.serveShort(b)
	b.tokens = min(b.tokens, b.maxSaved)
	if len(b.short) > 0 {
		a.borrow(b)
	}
}

// expireLoans gives up asks that were not answered. A zone that does not answer is
// like one that has nothing.
func (a *allocator) expireLoans() {
	for number, p := range a.loans.pending {
		if a.now.Sub(p.at) <= loanTime {
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
