package replica

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What boxes that ask the store say of how new their copies are.
// ================================================================

// claim is what a box said of its copy: of which version it is, and when that was the
// newest.
type claim struct {
	version objects.Version
	at      time.Time
}

// mostClaims bounds the claims that are kept of a kind: while changes follow each other, some
// come before what the first one speaks of has been taken over.
const mostClaims = 8

// claims are what was said of copies that this box did not have yet, by kind, the oldest
// first.
type claims struct {
	mu    sync.Mutex
	kinds map[string][]claim
}

func (c *claims) put(kind string, one claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = map[string][]claim{}
	}
	list := c.kinds[kind]
	if len(list) == mostClaims {
		list = list[1:]
	}
	c.kinds[kind] = append(list, one)
}

// settle returns when the copy was last the newest by the claims that hold for it, and
// forgets these; ok is false if none does.
func (c *claims) settle(kind string, m *objects.Mirror) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.kinds[kind][:0]
	for _, one := range c.kinds[kind] {
		if m.Lacks(one.version) {
			open = append(open, one)
			continue
		}
		ok = true
		if one.at.After(at) {
			at = one.at
		}
	}
	if c.kinds != nil {
		c.kinds[kind] = open
	}
	return at, ok
}

// hearConfirmations takes the word of a box that asks the store on how new its copies
// are. It holds for this box's own once they lack nothing of those.
func (r *Replica) hearConfirmations(from *gossip.Record) {
	for kind, told := range map[string]uint32{
		r.Kinds.Configuration: from.ConfirmedAgo, r.Kinds.Servers: from.ListConfirmedAgo,
	} {
		version, has := from.Versions[kind]
		if told == 0 || !has {
			continue
		}
		ago := time.Duration(told-1) * time.Millisecond
		r.claims.put(kind, claim{version, r.Now().Add(-ago)})
		r.settleClaims(kind)
	}
}

// settleClaims takes the claims of a kind for this box's copy where that lacks nothing of
// what they were made of.
func (r *Replica) settleClaims(kind string) {
	c := r.contact.of(r.Kinds, kind)
	if c == nil {
		return
	}
	if at, ok := r.claims.settle(kind, r.mirrors[kind]); ok {
		c.hear(at)
	}
}
