package steering

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/routing"
	"github.com/stoneworks/stoneworks/pkg/watcher"
)

// watchShare is which part of the time of contact a watch waits. A store that falls
// silent never answers what it is asked meanwhile, and goes on answering what it was
// asked before; so each watch notices by itself, and asks anew, within that time. When
// the watches of servers and evacuations waited for 25 s and relied on that of the
// configuration, a silence of 1 s left them deaf for 26 s at all boxes
// (TestSilentStoreLeavesNoWatchDeaf).
const watchShare = 0.6

func (n *Node) newFollowers(log *logging.Part) {
	kinds := n.adapter.Kinds
	client := n.adapter.Store(n.Settings.Platform.Address, n.dialPeer, func(verb string) {
		metrics.GetOrRegisterCounter("store."+verb, n.Metrics).Inc(1)
	})
	all := []string{kinds.Configuration, kinds.Servers, kinds.Evacuations}
	for _, kind := range all {
		n.mirrors[kind] = objects.NewMirror(kind)
	}
	n.mirrors[kinds.Configuration].Changed = func(o objects.Object, gone bool) {
		n.configurationChanged(log, o, gone)
		n.unannounced.Store(true)
	}
	n.mirrors[kinds.Servers].Changed = func(o objects.Object, gone bool) {
		n.serverChanged(log, o, gone)
		n.unannounced.Store(true)
	}
	evacuated := map[string]bool{}
	n.mirrors[kinds.Evacuations].Changed = func(o objects.Object, gone bool) {
		n.evacuationChanged(log, evacuated, o, gone)
		n.unannounced.Store(true)
	}
	for _, kind := range all {
		n.followers = append(n.followers, n.newFollower(client, kind, log))
	}
}

func (n *Node) newFollower(client *objects.Client, kind string, log *logging.Part) *objects.Follower {
	wait := time.Duration(watchShare * float64(n.Settings.Bounds.Contact))
	if kind == n.adapter.Kinds.Servers {
		wait = min(wait, time.Duration(listWatchShare*float64(n.Settings.Bounds.Drain)))
	}
	f := objects.NewFollower(client, n.mirrors[kind], wait, rand.Float64)
	f.Allowed = n.watching.Load
	f.ReadsOn = func() bool {
		n.roleMu.Lock()
		defer n.roleMu.Unlock()
		return n.role.ReadsOn(time.Now())
	}
	f.Ended = n.watchCalls(kind, log)
	f.Succeeded = func() {
		n.store.noteAnswer()
		if c := n.confirmationOf(kind); c != nil {
			c.note(time.Now())
		}
		n.storeSpoke(f, n.store.setFailing(kind, false))
		n.checkReady()
	}
	f.Failed = func(error) {
		if !n.watching.Load() {
			return
		}
		n.store.noteFailure(f.Began())
		n.store.setFailing(kind, true)
	}
	return f
}

// watcherSilence is how long a watching box may be silent before another takes
// over: three heartbeats, some of which may be lost. Few boxes of each zone
// watch the store, the others learn from them; what all of a zone miss, they
// learn from other zones.
const watcherSilence = 3 * gossip.Interval

// chooseRole decides whether this box watches the store.
func (n *Node) chooseRole() {
	n.roleMu.Lock()
	defer n.roleMu.Unlock()
	watching := n.role.Watches(n.view(), time.Now())
	if watching == n.watching.Swap(watching) {
		return
	}
	n.log.Info("role changed", map[string]any{"watches_store": watching})
	n.store.forgetFailures()
	for _, f := range n.followers {
		if watching {
			f.Hurry()
		} else {
			f.Restart()
		}
	}
}

// view is what this box's role follows from.
func (n *Node) view() watcher.View {
	z := n.Members.Zone(watcherSilence)
	return watcher.View{
		HealthyBefore: z.HealthyBefore, TryingBefore: z.TryingBefore, IdleBefore: z.IdleBefore, ZoneHealthy: z.Healthy,
		Synced: n.synced(), Answered: n.watching.Load() && n.store.healthy(),
		StoreAnswers: n.store.healthy() || n.anyStoreHealthy(),
	}
}

// synced reports whether this box has copies of all that the store holds.
func (n *Node) synced() bool {
	for _, m := range n.mirrors {
		if !m.Synced() {
			return false
		}
	}
	return true
}

// followerOf returns the follower of a kind.
func (n *Node) followerOf(kind string) *objects.Follower {
	for _, f := range n.followers {
		if f.Mirror.Kind == kind {
			return f
		}
	}
	return nil
}

// storeSpoke makes the other followers ask at once where they failed too. If the store
// did not answer this one before, it was silent, and calls of others that are older
// than the one it has answered now may hang.
func (n *Node) storeSpoke(answered *objects.Follower, failedBefore bool) {
	for _, f := range n.followers {
		if f == answered {
			continue
		}
		if failedBefore {
			f.RestartBefore(answered.Began())
		}
		if n.store.isFailing(f.Mirror.Kind) {
			f.Hurry()
		}
	}
}

// configurationChanged puts a configuration in force if it is newer.
func (n *Node) configurationChanged(log *logging.Part, o objects.Object, gone bool) {
	if gone {
		return
	}
	c, err := n.adapter.Configuration(o)
	if err != nil {
		metrics.GetOrRegisterCounter("config.refused", n.Metrics).Inc(1)
		log.Warn("configuration not understood", map[string]any{"name": o.Name, "revision": o.Revision, "error": err.Error()})
		return
	}
	old := n.table.Load()
	if old != nil && c.Version <= old.Configuration.Version {
		return
	}
	t, err := routing.NewTable(c)
	if err != nil {
		metrics.GetOrRegisterCounter("config.refused", n.Metrics).Inc(1)
		log.Warn("configuration refused", map[string]any{"version": c.Version, "error": err.Error()})
		return
	}
	terms := map[string]backend.ServiceTerms{}
	for _, s := range c.Services {
		terms[s.Name] = backend.ServiceTerms{ColdStart: s.ColdStart, ColdPerSecond: s.ColdPerSecond}
	}
	n.Set.SetServices(terms)
	n.Quota.SetCustomers(c.Customers)
	n.table.Store(t)
	n.ports.limit(c.Limits)
	log.Info("configuration in force", map[string]any{"version": c.Version, "revision": o.Revision, "routes": len(c.Routes), "customers": len(c.Customers)})
}

func (n *Node) serverChanged(log *logging.Part, o objects.Object, gone bool) {
	if gone {
		n.Set.Remove(o.Name, n.trustsList())
		return
	}
	v, err := n.adapter.Server(o)
	if err != nil {
		log.Warn("server not understood", map[string]any{"name": o.Name, "error": err.Error()})
		return
	}
	n.Set.Put(v)
}

func (n *Node) evacuationChanged(log *logging.Part, evacuated map[string]bool, o objects.Object, gone bool) {
	if gone {
		delete(evacuated, o.Name)
	} else {
		evacuated[o.Name] = true
	}
	zones := make([]string, 0, len(evacuated))
	for zone := range evacuated {
		zones = append(zones, zone)
	}
	n.Set.SetEvacuated(zones)
	log.Info("evacuations changed", map[string]any{"zone": o.Name, "taken_back": gone, "revision": o.Revision})
}
