package replica

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What store pollers report about how current their copies are.
// ================================================================

// claim is a box's report that a version of its copy was current at a time.
type claim struct {
	version objects.Version
	at      time.Time
}

// maxClaims bounds the claims that are kept for a kind: while changes follow each other
// quickly, further claims arrive before the version of the first one has been applied.
const maxClaims = 8

// claims are reports about versions that this box does not have yet, by kind, the oldest
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
	if len(list) == maxClaims {
		list = list[1:]
	}
	c.kinds[kind] = append(list, one)
}

// resolve returns when the copy was last current according to the claims about versions that
// it now has, and removes these claims; ok is false if there are none.
func (c *claims) resolve(kind string, m *objects.Mirror) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.kinds[kind][:0]
	for _, one := range c.kinds[kind] {
		if m.Lacks(one.version) {
			open = append(open, one)
			continue
		}
		if one.version.Era != m.Version().Era {
			continue // that box does not know yet that the store came back from an older copy
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

// addClaims adds the claims of a store poller about its copies. They hold for this box's
// copies as soon as these lack nothing of that version.
func (r *Replica) addClaims(from *gossip.Record) {
	for kind, reported := range map[string]uint32{
		r.Kinds.Configuration: from.ConfirmedAgo, r.Kinds.Servers: from.ListConfirmedAgo,
	} {
		version, has := from.Versions[kind]
		if reported == 0 || !has {
			continue
		}
		ago := time.Duration(reported-1) * time.Millisecond
		r.claims.put(kind, claim{version, r.Now().Add(-ago)})
		r.resolveClaims(kind)
	}
}

// resolveClaims confirms this box's copy of a kind by the claims about versions of which it
// lacks nothing.
func (r *Replica) resolveClaims(kind string) {
	c := r.contact.confirmationOf(r.Kinds, kind)
	if c == nil {
		return
	}
	if at, ok := r.claims.resolve(kind, r.mirrors[kind]); ok {
		c.noteRemote(at)
	}
}
