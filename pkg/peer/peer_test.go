package peer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
)

func newExchanger(name string) *Exchanger {
	table := membership.NewTable(name, time.Now)
	table.SetSelf(membership.Record{Box: name, Zone: "z", Peers: name, Version: 1})
	return NewExchanger(name, "z", nil, table, config.NewStore(), logging.Discard())
}

// jsonCall returns a Call that passes messages to another exchanger as JSON.
func jsonCall(to *Exchanger) func(context.Context, string, string, any, any) error {
	return func(_ context.Context, _, path string, in, out any) error {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		var answer any
		if path == PathExchange {
			var b Heartbeat
			err = json.Unmarshal(text, &b)
			answer = to.HandleHeartbeat(b)
		} else {
			var s Sync
			err = json.Unmarshal(text, &s)
			answer = to.HandleSync(s)
		}
		if err != nil {
			return err
		}
		text, _ = json.Marshal(answer)
		return json.Unmarshal(text, out)
	}
}

// TestEmptyBoxGetsEverything guards against a box without configuration being told that
// its configuration is complete without receiving any object.
func TestEmptyBoxGetsEverything(t *testing.T) {
	is := is.New(t)
	full, empty := newExchanger("full"), newExchanger("empty")
	full.Store.Merge(&config.Object{Name: "s", Revision: 7, Service: &model.Service{Name: "s"}})
	full.Store.MarkSynced()
	empty.Call = jsonCall(full)
	empty.callOne(context.Background(), "full")
	is.True(empty.Store.Synced())
	is.Equal(empty.Store.Get("s").Revision, uint64(7))
}

// TestEmptyBoxOfEmptyBox checks that a box without a complete configuration does not make
// another one complete.
func TestEmptyBoxOfEmptyBox(t *testing.T) {
	is := is.New(t)
	a, b := newExchanger("a"), newExchanger("b")
	a.Call = jsonCall(b)
	a.callOne(context.Background(), "b")
	is.True(!a.Store.Synced())
	_, known := b.Table.Get("a")
	is.True(known)
}
