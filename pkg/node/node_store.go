package node

import (
	"bytes"
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
	"github.com/stoneworks/stoneworks/pkg/routing"
)

// ================================================================
// Processing of the store's objects.
// ================================================================

func (n *Node) newReplica(log *logging.Logger) {
	s, kinds := n.Settings, n.adapter.Kinds
	if !s.Platform.Rollouts {
		kinds.Rollouts = ""
	}
	n.store = n.adapter.Store(objects.ClientOptions{
		Address: s.Platform.Address, Dial: n.dialPeer, MaxAnswer: n.Utilization.Sizes.MaxStoreAnswer(),
		OnCall:   func(verb string) { metrics.GetOrRegisterCounter("store."+verb, n.Metrics).Inc(1) },
		OnUnread: func(err error) { n.noteUnreadObject(log, err) },
	})
	n.Replica = replica.New(replica.Options{
		Kinds: kinds, Zone: s.Zone, ContactWindow: s.Bounds.Contact, DrainTime: s.Bounds.Drain,
		Client:  n.store,
		Members: n.Members, Fetch: n.fetchMirror, Now: n.Clock.Now,
		WatchersPerZone: func() int { return n.policy.Load().WatchersPerZone },
		OnAnswer:        n.checkReady,
		OnEra:           n.storeHoldsAgain,
		Go:              n.background.Go, Context: n.context,
		Metrics: n.Metrics, BoxLog: n.log, StoreLog: log,
	})
	n.Replica.Mirror(kinds.Configuration).AppliesAtOnce = always // an older version changes nothing
	n.Replica.Mirror(kinds.Servers).AppliesAtOnce = n.isServerLeaving
	evacuated := map[string]bool{}
	changes := map[string]func(o objects.Object, gone bool){
		kinds.Configuration: func(o objects.Object, gone bool) { n.configurationChanged(log, o, gone) },
		kinds.Servers:       func(o objects.Object, gone bool) { n.serverChanged(log, o, gone) },
		kinds.Evacuations:   func(o objects.Object, gone bool) { n.evacuationChanged(log, evacuated, o, gone) },
	}
	if kinds.Rollouts != "" {
		n.Replica.Mirror(kinds.Rollouts).AppliesAtOnce = isSameSpec // an order's progress only advances
		changes[kinds.Rollouts] = func(o objects.Object, gone bool) { n.rolloutChanged(log, o, gone) }
	}
	for kind, changed := range changes {
		n.Replica.OnChange(kind, func(o objects.Object, gone bool) {
			changed(o, gone)
			if !gone && kind != kinds.Servers {
				n.logUnreadFields(kind, o)
			}
		})
	}
}

func always(*objects.Object, objects.Object) bool { return true }

// isSameSpec reports whether an object differs from the known one in its status only.
func isSameSpec(known *objects.Object, listed objects.Object) bool {
	return known != nil && bytes.Equal(known.Spec, listed.Spec)
}

// isServerLeaving reports whether an entry says that a known server leaves.
func (n *Node) isServerLeaving(known *objects.Object, listed objects.Object) bool {
	v, _, err := n.adapter.Server(listed)
	return known != nil && err == nil && v.Draining
}

// configurationChanged applies a configuration if it is newer than the current one.
func (n *Node) configurationChanged(log *logging.Logger, o objects.Object, gone bool) {
	if gone {
		return
	}
	c, err := n.adapter.Configuration(o)
	if err != nil {
		metrics.GetOrRegisterCounter("config.refused", n.Metrics).Inc(1)
		log.Warn("configuration could not be read", map[string]any{"name": o.Name, "revision": o.Revision, "error": err.Error()})
		return
	}
	old := n.table.Load()
	if old != nil && c.Version < old.Configuration.Version {
		log.Warn("configuration is older than the one in force", map[string]any{"version": c.Version, "in_force": old.Configuration.Version, "revision": o.Revision})
	}
	if old != nil && c.Version <= old.Configuration.Version {
		return
	}
	t, err := routing.NewTable(c)
	if err != nil {
		metrics.GetOrRegisterCounter("config.refused", n.Metrics).Inc(1)
		log.Warn("configuration refused", map[string]any{"version": c.Version, "error": err.Error()})
		return
	}
	terms := map[string]backend.ColdStartConfig{}
	for _, s := range c.Services {
		terms[s.Name] = backend.ColdStartConfig{ColdStart: s.ColdStart, ColdPerSecond: s.ColdPerSecond}
	}
	n.Set.SetServices(terms)
	n.Quota.SetCustomers(c.Customers)
	n.table.Store(t)
	n.ports.setLimits(c.Limits)
	log.Info("configuration in force", map[string]any{"version": c.Version, "revision": o.Revision, "routes": len(c.Routes), "customers": len(c.Customers)})
}

// ZoneError reports a server that is listed in a zone that the settings do not name.
type ZoneError struct {
	Server string
	Zone   string
}

// Error implements error.
func (e *ZoneError) Error() string {
	return fmt.Sprintf("server %s: unknown zone %q", e.Server, e.Zone)
}

// StartError reports that an entry does not state when its server started, although an earlier
// entry of that server did.
type StartError struct {
	Server string
}

// Error implements error.
func (e *StartError) Error() string { return "server " + e.Server + ": it no longer has a start time" }

// checkServer checks a readable entry against what is known. The error is a *ZoneError or a
// *StartError.
func (n *Node) checkServer(v *backend.Server) error {
	if n.Topology.RegionOf(v.Zone) == "" {
		return &ZoneError{Server: v.ID, Zone: v.Zone}
	}
	if v.StartedAtMs == 0 && n.Set.ReportsStart(v.ID) {
		return &StartError{Server: v.ID}
	}
	return nil
}

// noteUnreadObject counts and logs an object of the store that cannot be read; the other objects
// remain in effect.
func (n *Node) noteUnreadObject(log *logging.Logger, err error) {
	metrics.GetOrRegisterCounter("store.unread", n.Metrics).Inc(1)
	log.Warn("object of the store could not be read", map[string]any{"error": err.Error()})
}

func (n *Node) serverChanged(log *logging.Logger, o objects.Object, gone bool) {
	if gone {
		n.Set.Remove(o.Name, n.Replica.TrustsList())
		return
	}
	v, hasUnread, err := n.adapter.Server(o)
	if hasUnread {
		n.logUnreadFields(n.adapter.Kinds.Servers, o)
	}
	if err == nil {
		err = n.checkServer(&v)
	}
	if err != nil {
		// The entry was written by another writer. It names no server, even if it has replaced
		// an entry that did.
		n.noteUnreadObject(log, err)
		n.Set.Remove(o.Name, true)
		return
	}
	n.Set.Put(v)
}

func (n *Node) evacuationChanged(log *logging.Logger, evacuated map[string]bool, o objects.Object, gone bool) {
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
