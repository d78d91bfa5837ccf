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

// claims are the last ones of copies that this box did not have yet, by kind.
type claims struct {
	mu   sync.Mutex
	last map[string]claim
}

func (c *claims) put(kind string, one claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]claim{}
	}
	c.last[kind] = one
}

func (c *claims) get(kind string) (claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.last[kind]
	return one, ok
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
		r.claims.put(kind, claim{version, time.Now().Add(-ago)})
		r.settleClaim(kind)
	}
}

// settleClaim takes the last claim of a kind for this box's copy if that lacks nothing of
// what it was said of.
func (r *Replica) settleClaim(kind string) {
	one, ok := r.claims.get(kind)
	if c := r.contact.of(r.Kinds, kind); ok && c != nil && !r.mirrors[kind].Lacks(one.version) {
		c.hear(one.at)
	}
}
