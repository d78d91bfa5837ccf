package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// sendHeartbeats sends heartbeats to a box, as from a poller of its zone whose copies were
// confirmed the given time ago.
func sendHeartbeats(b *modelBox, beat *uint64, d time.Duration, ago func() time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gossip.Interval) {
		*beat++
		told := 1 + uint32(ago().Milliseconds())
		m := gossip.Message{From: gossip.Record{
			Box: "a-box", Zone: "east-a", Peers: "a-box", Started: 1, Sequence: *beat, Ready: true,
			StoreHealthy: true, ConfirmedAgo: told, ListConfirmedAgo: told,
		}}
		m.From.Versions = b.ownVersions()
		b.Members.Receive(&m)
		b.HandleRecord(&m.From)
	}
}

// TestPollIsPutOffOnlyWhileNobodyTellsAnything: a box whose poll was not answered waits for
// long before the next one, since the store may be down for all. Once a poller has confirmed
// its copies again, a new silence of the poller must lead to a new poll. Without this, a box
// that the store answered, while it refused all others, did not know of a server that had left
// 2.5 s before: a poll 8 s earlier had failed, and its copies had been confirmed many times
// since.
func TestPollIsPutOffOnlyWhileNobodyTellsAnything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newModelStore()
		s.put(storeKinds.Configuration, "main", 1)
		s.put(storeKinds.Servers, "leaver", backend.Server{ID: "leaver", Service: "shop"})
		s.put(storeKinds.Evacuations, "west", struct{}{})
		b := newModelBox(t, s)
		defer b.group.Wait()
		defer b.stop()
		beat := uint64(0)
		fresh := func() time.Duration { return 0 }
		b.run()
		sendHeartbeats(b, &beat, 2*time.Second, fresh)

		s.treat(refusing, "box")
		since := time.Now()
		older := func() time.Duration { return time.Since(since) }
		sendHeartbeats(b, &beat, 4*time.Second, older) // its poll is refused
		s.treat(serving, "box")
		sendHeartbeats(b, &beat, 2*time.Second, fresh)

		since = time.Now()
		s.put(storeKinds.Servers, "leaver", backend.Server{ID: "leaver", Service: "shop", Draining: true})
		sendHeartbeats(b, &beat, drainTime, older)
		for _, v := range b.set.List() {
			is.True(v.ID != "leaver" || v.Draining)
		}
	})
}
