package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// TestOlderClaimsAreKept: while changes follow each other quickly, a box has a version
// only after the poller has already reported a newer one. If only the last claim is kept, none
// ever holds: when 295 boxes started, all of them polled the store themselves, with 1,210 calls
// in 21 s in place of 352.
func TestOlderClaimsAreKept(t *testing.T) {
	is := is.New(t)
	m := objects.NewMirror(storeKinds.Servers)
	start := time.Now()
	var c claims
	m.Load(nil, objects.Exactly(1))
	for i := range uint64(3) {
		c.put(m.Kind, claim{objects.Version{Revision: 2 + i, Digest: uint32(2 + i)}, start.Add(time.Duration(i) * time.Second)})
	}
	_, ok := c.resolve(m.Kind, m)
	is.True(!ok) // the copy lacks the version of each claim

	m.Apply(nil, objects.Exactly(3))
	at, ok := c.resolve(m.Kind, m)
	is.True(ok)
	is.Equal(at, start.Add(time.Second)) // the newest claim that holds
	_, ok = c.resolve(m.Kind, m)
	is.True(!ok) // the last claim still does not hold

	for i := range uint64(3 * maxClaims) {
		c.put(m.Kind, claim{objects.Version{Revision: 10 + i, Digest: 1}, start})
	}
	is.Equal(len(c.kinds[m.Kind]), maxClaims)
}
