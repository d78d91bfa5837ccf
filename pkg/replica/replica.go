// Package replica keeps a box's copies of what the platform's store holds, and knows how
// new they are. The box asks the store itself or leaves that to another one of its zone
// (see package watcher), takes over from other boxes what these know sooner, and polls
// the store itself where nobody has told it anything for long.
//
// Example: a box leaves the store to box-1. The store turns box-1 away without a word.
// Box-1 goes on sending heartbeats, which tell that it last heard of the list of servers
// 0.5 s ago, then 1 s, then 1.5 s. At 2 s the box polls the store itself, and hears of the
// server that has left meanwhile.
//
// Calls of the store and of other boxes are made through function fields; this package
// has no sockets of its own.
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
	// Rollouts is empty where there are none.
	Rollouts string
}

// all lists the kinds, the one first whose changes must be known soonest.
func (k Kinds) all() []string {
	list := []string{k.Servers, k.Configuration, k.Evacuations}
	if k.Rollouts != "" {
		list = append(list, k.Rollouts)
	}
	return list
}

// Handover is what a box tells another one of its copy of a kind.
type Handover struct {
	objects.Extent
	// Whole: Items are all objects; else Events are what has changed.
	Whole  bool             `json:"whole,omitempty"`
	Items  []objects.Object `json:"items,omitempty"`
	Events []objects.Event  `json:"events,omitempty"`
}

// Options are what a Replica needs. All fields are needed.
type Options struct {
	Kinds Kinds
	Zone  string
	// ContactWindow is the time within which a calm box is in touch with the store, and DrainTime
	// how long after it was listed as leaving a server may still get requests.
	ContactWindow, DrainTime time.Duration
	Client                   *objects.Client
	Members                  *gossip.Table
	// Fetch asks another box for what its copy has and this one lacks. It gives up when nothing has come
	// for PullTime.
	Fetch func(ctx context.Context, source string, m *objects.Mirror) (*Handover, error)
	// WatchersPerZone is how many boxes of a zone are to ask the store.
	WatchersPerZone func() int
	// OnAnswer is called when the store, or another box in its place, has told something.
	OnAnswer func()
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Go runs work in the background, and Context ends it all.
	Go      func(work func())
	Context context.Context
	Metrics metrics.Registry
	// BoxLog takes what the box does, StoreLog what the store does.
	BoxLog, StoreLog *logging.Logger
}

// Replica is a box's copies of what the store holds.
type Replica struct {
	Options

	mirrors   map[string]*objects.Mirror
	followers map[string]*objects.Follower
	contact   *contact
	revisions *revisions
	// watching: this box is one that asks the store; changed: it has changes that it has
	// not told its zone of yet.
	watching atomic.Bool
	changed  atomic.Bool
	// roleMu keeps two decisions on the role apart.
	roleMu sync.Mutex
	role   *storepoller.Role

	pulls  *pulls
	claims claims
	polls  polls
}

// New makes a replica that does not run yet.
func New(o Options) *Replica {
	now := o.Now()
	r := &Replica{
		Options: o, mirrors: map[string]*objects.Mirror{}, followers: map[string]*objects.Follower{},
		contact: newContact(o.Now, o.ContactWindow), revisions: newRevisions(), pulls: newPulls(),
		role: storepoller.New(o.WatchersPerZone, o.ContactWindow, now, rand.Float64()),
	}
	for _, kind := range o.Kinds.all() {
		r.mirrors[kind] = objects.NewMirror(kind)
		r.followers[kind] = r.newFollower(kind)
	}
	return r
}

// OnChange sets what is called with each object of a kind that has changed, gone or not.
// Call it before Run.
func (r *Replica) OnChange(kind string, changed func(o objects.Object, gone bool)) {
	r.mirrors[kind].OnChange = func(o objects.Object, gone bool) {
		changed(o, gone)
		r.changed.Store(true)
	}
}

// Run begins to follow the store.
func (r *Replica) Run() {
	for _, kind := range r.Kinds.all() {
		f := r.followers[kind]
		r.Go(func() { f.Run(r.Context) })
	}
}

// Mirror returns this box's copy of a kind, nil for one that it does not keep.
func (r *Replica) Mirror(kind string) *objects.Mirror { return r.mirrors[kind] }

// Tick decides what this box does next. Call it some times a second.
func (r *Replica) Tick() {
	r.chooseRole()
	r.pollIfUntold()
}

// PullOverdue takes over what other boxes have had for a while. Call it with each heartbeat.
func (r *Replica) PullOverdue() {
	for _, kind := range r.Kinds.all() {
		r.catchUp(kind, false)
	}
}

// HandleRecord takes in what another box tells of its copies.
func (r *Replica) HandleRecord(from *gossip.Record) {
	r.catchUpWith(from)
	r.hearConfirmations(from)
}

// TakeUnannounced reports whether this box asks the store and has changes that it has not told
// its zone of yet, and takes them for told.
func (r *Replica) TakeUnannounced() bool { return r.watching.Load() && r.changed.Swap(false) }

// FillRecord writes into this box's record what others are to know of its copies.
func (r *Replica) FillRecord(self *gossip.Record) {
	self.Versions = map[string]objects.Version{}
	for kind, m := range r.mirrors {
		if m.Synced() {
			self.Versions[kind] = m.Version()
		}
	}
	watching := r.watching.Load()
	self.ConfirmedAgo = r.contact.configuration.told(watching)
	self.ListConfirmedAgo = r.contact.list.told(watching)
	self.StoreHealthy = watching && r.synced() && r.contact.healthy()
	self.StoreUnanswered = watching && !self.StoreHealthy
}

// ----------------------------------------------------------------
// How far the copies may be trusted
// ----------------------------------------------------------------

// Current reports whether the store answered lately, this box or one that
// tells this box of it, so that what is not in the configuration does not
// exist.
func (r *Replica) Current() bool {
	return r.contact.answeredLately() || !r.watching.Load() && r.anyHealthy()
}

// TrustsList reports whether a server that the store no longer lists is to be
// taken as gone: the store has had no trouble lately, for this box or for any
// other that is live. A store that was down for all may have lost entries of
// servers that are well.
func (r *Replica) TrustsList() bool { return r.contact.healthy() || r.anyHealthy() }

// ConfigurationAge is how long ago the configuration was last known to be the newest; ok
// is false if it never was.
func (r *Replica) ConfigurationAge() (age time.Duration, ok bool) {
	return r.contact.configuration.ago(), r.contact.configuration.ever()
}

// Ages is how long ago the list of servers and the configuration were last known to be the newest.
func (r *Replica) Ages() (list, configuration time.Duration) {
	return r.contact.list.ago(), r.contact.configuration.ago()
}

// anyHealthy reports whether the store has answered any other live box without fail.
func (r *Replica) anyHealthy() bool { return r.Members.AnyStoreHealthy() }

// synced reports whether this box has copies of all that the store holds.
func (r *Replica) synced() bool {
	for _, m := range r.mirrors {
		if !m.Synced() {
			return false
		}
	}
	return true
}

// ----------------------------------------------------------------
// The role of asking the store
// ----------------------------------------------------------------

// watcherSilence is how long a watching box may be silent before another takes
// over: three heartbeats, some of which may be lost. Few boxes of each zone
// watch the store, the others learn from them; what all of a zone miss, they
// learn from other zones.
const watcherSilence = 3 * gossip.Interval

// chooseRole decides whether this box watches the store.
func (r *Replica) chooseRole() {
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	watching := r.role.ShouldPoll(r.view(), r.Now())
	if watching == r.watching.Swap(watching) {
		return
	}
	r.BoxLog.Info("role changed", map[string]any{"watches_store": watching})
	r.contact.forgetFailures()
	for _, f := range r.followers {
		if watching {
			f.RetryNow()
		} else {
			f.Restart()
		}
	}
}

// view is what this box's role follows from.
func (r *Replica) view() storepoller.View {
	z := r.Members.StoreContacts(watcherSilence)
	healthy := r.contact.healthy()
	return storepoller.View{
		HealthyBefore: z.HealthyBefore, UnansweredBefore: z.UnansweredBefore, IdleBefore: z.IdleBefore, ZoneHealthy: z.Healthy,
		Synced: r.synced(), Answered: r.watching.Load() && healthy, StoreAnswers: healthy || r.anyHealthy(),
	}
}

// readsOn reports whether this box reads a long list on that it was not handed.
func (r *Replica) readsOn() bool {
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	return r.role.ReadsAllPages(r.Now())
}
