package replica

import (
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// TestChangesDoNotWaitForOtherBoxes checks that a change of a copy is processed while this box
// compares its copies with those of other boxes, or describes them to other boxes. Whether a
// deleted server is gone is asked of the table of boxes while the copy is locked. A box whose
// other goroutine held the table and waited for the copy never applied a change again.
func TestChangesDoNotWaitForOtherBoxes(t *testing.T) {
	for name, meanwhile := range map[string]func(b *modelBox){
		"compares":  func(b *modelBox) { b.PullOverdue() },
		"describes": func(b *modelBox) { b.Members.Update(b.CopyState().FillRecord) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newModelBox(t, newModelStore())
			defer b.stop()
			b.contact.noteFailure(time.Now()) // so that the other boxes are asked
			heardOf(b, "other", objects.Version{Revision: 9, Digest: 1})
			m := b.Mirror(storeKinds.Servers)
			m.Load([]objects.Object{{Name: "server", Revision: 1, Spec: []byte(`{"ID":"server"}`)}}, objects.Exactly(1))
			asked := make(chan struct{}, 1)
			trusts := b.Replica.mirrors[storeKinds.Servers].OnChange
			m.OnChange = func(o objects.Object, gone bool) {
				go func() {
					asked <- struct{}{}
					meanwhile(b)
				}()
				<-asked
				// The other goroutine either holds the table now or does not get to it.
				time.Sleep(50 * time.Millisecond)
				trusts(o, gone)
			}
			applied := make(chan struct{})
			go func() {
				m.Apply([]objects.Event{{Object: objects.Object{Name: "server", Revision: 2}, Deleted: true}}, objects.Exactly(2))
				close(applied)
			}()
			select {
			case <-applied:
			case <-time.After(5 * time.Second):
				t.Fatal("the change was not applied within 5 s")
			}
		})
	}
}

// heardOf adds a box to the table of boxes of b, with the version of its list of servers.
func heardOf(b *modelBox, name string, v objects.Version) {
	from := gossip.Record{
		Box: name, Zone: "east-a", Peers: name, Started: 1, Sequence: 1,
		Versions: map[string]objects.Version{storeKinds.Servers: v},
	}
	b.Members.Receive(&gossip.Message{From: from})
}
