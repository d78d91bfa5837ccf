// Package replica keeps a box's copies of the objects in the platform's store, and knows how
// current they are. The box polls the store itself or leaves that to another box of its zone
// (see package storepoller), pulls newer copies from other boxes, and polls the store itself
// if no other box has confirmed its copies for long.
//
// Example: a box leaves the store to box-1. The store stops answering box-1. Box-1 goes on
// sending heartbeats, which say that its list of servers was last confirmed 0.5, then 1, then
// 1.5 s ago. At 2 s the box polls the store itself, and learns of a server that has left
// meanwhile.
//
// Calls to the store and to other boxes are made through function fields; this package has no
// sockets of its own.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/storepoller"
)

// Kinds are the names of the kinds of objects in the store.
type Kinds struct {
	Configuration string
	Servers       string
	Evacuations   string
	// Rollouts is empty if the platform has none.
	Rollouts string
}

// byUrgency lists the kinds, with the one whose changes must be known soonest first.
func (k Kinds) byUrgency() []string {
	list := []string{k.Servers, k.Configuration, k.Evacuations}
	if k.Rollouts != "" {
		list = append(list, k.Rollouts)
	}
	return list
}

// Handover is the answer of a box that hands its copy of a kind to another one.
type Handover struct {
	objects.Extent
	// Whole means that Items are all objects; otherwise Events are the changes.
	Whole  bool             `json:"whole,omitempty"`
	Items  []objects.Object `json:"items,omitempty"`
	Events []objects.Event  `json:"events,omitempty"`
}

// Options configure a Replica. All fields are required.
type Options struct {
	Kinds Kinds
	Zone  string
	// ContactWindow is the time within which a box without trouble gets an answer from the
	// store. DrainTime is how long after it was listed as leaving a server may still get
	// requests.
	ContactWindow, DrainTime time.Duration
	Client                   *objects.Client
	Members                  *gossip.Table
	// Fetch asks another box for what its copy has and this one lacks. It gives up if nothing
	// arrives for PullIdleTimeout.
	Fetch func(ctx context.Context, source string, m *objects.Mirror) (*Handover, error)
	// WatchersPerZone is how many boxes of a zone poll the store.
	WatchersPerZone func() int
	// OnAnswer is called when the store has answered, or another box has handed over a copy.
	OnAnswer func()
	// OnEra is called once the store is known to have come back from an older copy.
	OnEra func()
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Go runs work in the background; Context ends all of it.
	Go      func(work func())
	Context context.Context
	Metrics metrics.Registry
	// BoxLog is for lines about this box, StoreLog for lines about the store.
	BoxLog, StoreLog *logging.Logger
}

// Replica is a box's copies of the objects in the store.
type Replica struct {
	Options

	mirrors   map[string]*objects.Mirror
	followers map[string]*objects.Follower
	contact   *contact
	revisions *revisions
	// isPoller is true while this box polls the store for its zone. unannounced is true while
	// it has changes that it has not announced to its zone.
	isPoller    atomic.Bool
	unannounced atomic.Bool
	// roleMu serializes decisions on the role.
	roleMu sync.Mutex
	role   *storepoller.Role

	// era is the newest era of the store that this box has heard of, 0 if none.
	era atomic.Uint64

	pulls  *pulls
	claims claims
	polls  polls
}

// New returns a replica that does not run yet.
func New(o Options) *Replica {
	now := o.Now()
	r := &Replica{
		Options: o, mirrors: map[string]*objects.Mirror{}, followers: map[string]*objects.Follower{},
		contact: newContact(o.Now, o.ContactWindow), revisions: newRevisions(), pulls: newPulls(),
		role: storepoller.New(o.WatchersPerZone, o.ContactWindow, now, rand.Float64()),
	}
	for _, kind := range o.Kinds.byUrgency() {
		r.mirrors[kind] = objects.NewMirror(kind)
		r.mirrors[kind].Now = o.Now
		r.followers[kind] = r.newFollower(kind)
		r.registerUsage(kind)
	}
	return r
}

// registerUsage registers the metrics of what the copy of a kind holds.
func (r *Replica) registerUsage(kind string) {
	for name, part := range map[string]func(u objects.Usage) int{
		"mirror.objects.": func(u objects.Usage) int { return u.ObjectBytes },
		"mirror.kept.":    func(u objects.Usage) int { return u.ChangeBytes },
		"mirror.changes.": func(u objects.Usage) int { return u.Changes },
	} {
		gauge := metrics.NewFunctionalGauge(func() int64 { return int64(part(r.mirrors[kind].Usage())) })
		if err := r.Metrics.Register(name+kind, gauge); err != nil {
			r.StoreLog.Warn("cannot register the metric", map[string]any{"metric": name + kind, "error": err.Error()})
		}
	}
}

// OnChange sets the function that is called with each changed or deleted object of a kind.
// Call it before Run.
func (r *Replica) OnChange(kind string, changed func(o objects.Object, gone bool)) {
	r.mirrors[kind].OnChange = func(o objects.Object, gone bool) {
		changed(o, gone)
		r.unannounced.Store(true)
	}
}

// Run starts to follow the store.
func (r *Replica) Run() {
	for _, kind := range r.Kinds.byUrgency() {
		f := r.followers[kind]
		r.Go(func() { f.Run(r.Context) })
	}
}

// Mirror returns this box's copy of a kind, or nil for a kind that it does not keep.
func (r *Replica) Mirror(kind string) *objects.Mirror { return r.mirrors[kind] }

// Tick updates the role and polls the store if a copy is stale. Call it several times a
// second.
func (r *Replica) Tick() {
	r.chooseRole()
	r.pollIfStale()
	for _, m := range r.mirrors {
		m.Settle()
	}
}

// PullOverdue pulls the copies in which other boxes have been ahead for several heartbeats.
// Call it with each heartbeat.
func (r *Replica) PullOverdue() {
	for _, kind := range r.Kinds.byUrgency() {
		r.pullNewer(kind, false)
	}
}

// HandleRecord processes what another box's record says about its copies.
func (r *Replica) HandleRecord(from *gossip.Record) {
	for _, v := range from.Versions {
		r.noteEra(v.Era)
	}
	r.pullNewerFrom(from)
	r.addClaims(from)
}

// IsPoller reports whether this box polls the store for its zone.
func (r *Replica) IsPoller() bool { return r.isPoller.Load() }

// TakeUnannounced reports whether this box polls the store and has changes that it has not
// announced to its zone, and marks them as announced.
func (r *Replica) TakeUnannounced() bool { return r.isPoller.Load() && r.unannounced.Swap(false) }

// CopyState is what a box tells others about its copies.
type CopyState struct {
	Versions                       map[string]objects.Version
	ConfirmedAgo, ListConfirmedAgo uint32
	StoreHealthy, StoreUnanswered  bool
}

// CopyState returns the state of this box's copies. It must not be called with the table of
// boxes locked: a change of a copy asks the table while the copy is locked.
func (r *Replica) CopyState() CopyState {
	c := CopyState{Versions: map[string]objects.Version{}}
	for kind, m := range r.mirrors {
		if m.Synced() {
			c.Versions[kind] = m.Version()
		}
	}
	isPoller := r.isPoller.Load()
	c.ConfirmedAgo = r.contact.configuration.reported(isPoller)
	c.ListConfirmedAgo = r.contact.list.reported(isPoller)
	c.StoreHealthy = isPoller && r.synced() && r.contact.healthy()
	c.StoreUnanswered = isPoller && !c.StoreHealthy
	return c
}

// FillRecord writes the state into this box's record for other boxes.
func (c CopyState) FillRecord(self *gossip.Record) {
	self.Versions = c.Versions
	self.ConfirmedAgo, self.ListConfirmedAgo = c.ConfirmedAgo, c.ListConfirmedAgo
	self.StoreHealthy, self.StoreUnanswered = c.StoreHealthy, c.StoreUnanswered
}

// ----------------------------------------------------------------
// How far the copies can be trusted
// ----------------------------------------------------------------

// Current reports whether the store has recently answered this box, or a box on which it
// relies, so that whatever is not in the configuration does not exist.
func (r *Replica) Current() bool {
	if !r.isOfNewestEra(r.Kinds.Configuration) {
		return false
	}
	return r.contact.answeredRecently() || !r.isPoller.Load() && r.anyHealthy()
}

// TrustsList reports whether a server that the store no longer lists is to be taken as gone:
// the store has recently answered this box, or another live box, without failure. A store that
// was down for all boxes may have lost the entries of servers that still run.
func (r *Replica) TrustsList() bool { return r.contact.healthy() || r.anyHealthy() }

// isOfNewestEra reports whether the copy of a kind is from after the store last came back from an
// older copy, as far as this box has heard.
func (r *Replica) isOfNewestEra(kind string) bool {
	return r.mirrors[kind].Version().Era >= r.era.Load()
}

// noteEra records an era of the store that this box has heard of, from the store or another box.
// If it is a new one, the copies are lists of the past: those that this box follows itself are
// listed again at once.
func (r *Replica) noteEra(era uint64) {
	for {
		known := r.era.Load()
		if era <= known {
			return
		}
		if !r.era.CompareAndSwap(known, era) {
			continue
		}
		if known == 0 {
			return
		}
		metrics.GetOrRegisterCounter("store.eras", r.Metrics).Inc(1)
		r.StoreLog.Warn("the store has come back from an older copy", map[string]any{"era": era, "before": known})
		for _, f := range r.followers {
			f.Restart()
		}
		r.OnEra()
		return
	}
}

// ConfigurationAge returns how long ago the configuration was last known to be current; ok is
// false if it never was.
func (r *Replica) ConfigurationAge() (age time.Duration, ok bool) {
	return r.contact.configuration.age(), r.contact.configuration.known()
}

// Ages returns how long ago the list of servers and the configuration were last known to be
// current.
func (r *Replica) Ages() (list, configuration time.Duration) {
	return r.contact.list.age(), r.contact.configuration.age()
}

// anyHealthy reports whether the store has answered any other live box without failure.
func (r *Replica) anyHealthy() bool { return r.Members.AnyStoreHealthy() }

// synced reports whether this box has copies of all kinds of objects.
func (r *Replica) synced() bool {
	for _, m := range r.mirrors {
		if !m.Synced() {
			return false
		}
	}
	return true
}

// ----------------------------------------------------------------
// The role of polling the store
// ----------------------------------------------------------------

// pollerTimeout is how long a store poller may be silent until another box takes over: three
// heartbeats, since single ones may be lost. Few boxes of each zone poll the store, and the
// others learn from them; what all boxes of a zone miss, they learn from other zones.
const pollerTimeout = 3 * gossip.Interval

// chooseRole decides whether this box polls the store.
func (r *Replica) chooseRole() {
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	isPoller := r.role.ShouldPoll(r.view(), r.Now())
	if isPoller == r.isPoller.Swap(isPoller) {
		return
	}
	r.BoxLog.Info("store poller role changed", map[string]any{"watches_store": isPoller})
	r.contact.forgetFailures()
	for _, f := range r.followers {
		if isPoller {
			f.RetryNow()
		} else {
			f.Restart()
		}
	}
}

// view returns the state from which this box's role is decided.
func (r *Replica) view() storepoller.View {
	z := r.Members.StoreContacts(pollerTimeout)
	healthy := r.contact.healthy()
	return storepoller.View{
		HealthyBefore: z.HealthyBefore, UnansweredBefore: z.UnansweredBefore, IdleBefore: z.IdleBefore, ZoneHealthy: z.Healthy,
		Synced: r.synced(), Answered: r.isPoller.Load() && healthy, StoreAnswers: healthy || r.anyHealthy(),
	}
}

// readsAllPages reports whether this box reads all pages of a long list that no other box has
// handed over.
func (r *Replica) readsAllPages() bool {
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	return r.role.ReadsAllPages(r.Now())
}
