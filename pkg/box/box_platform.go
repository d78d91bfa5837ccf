package box

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/platform"
)

// Intervals and limits of calls to the platform.
const (
	// WatchHolders is the number of boxes of a zone that watch the platform; the
	// others get the configuration from them.
	WatchHolders = 2
	// firstPause and longestPause are the limits of the pause after a failed call.
	firstPause   = 200 * time.Millisecond
	longestPause = 5 * time.Second
	// boxListEvery and boxListEveryOthers are the intervals at which watch holders
	// and the other boxes read the list of boxes.
	boxListEvery       = 2 * time.Second
	boxListEveryOthers = 30 * time.Second
	// relistEvery is the interval at which a watch holder reads the whole
	// configuration again, in case the watch missed a change.
	relistEvery = time.Minute
	// watchHolderCheckEvery is the interval at which a box that does not watch
	// checks whether it has become a watch holder.
	watchHolderCheckEvery = 500 * time.Millisecond
	// platformReachableFor is the time for which the platform counts as reachable
	// after an answer.
	platformReachableFor = 30 * time.Second
)

// KeysKind is the kind of the platform's objects that record who owns a key without
// a ticket.
const KeysKind = "keys"

func (b *Box) countPlatformCall(verb string) {
	metrics.GetOrRegisterCounter("platform.calls."+verb, b.Metrics).Inc(1)
}

func (b *Box) platformAnswered() { b.lastAnswer.Store(int64(b.age()) + 1) }

// PlatformReachable reports whether the platform has answered within
// platformReachableFor.
func (b *Box) PlatformReachable() bool {
	last := b.lastAnswer.Load()
	return last > 0 && b.age()-time.Duration(last) < platformReachableFor
}

// isWatchHolder reports whether this box is one of its zone's watch holders: the first
// WatchHolders live boxes in the order of a hash of their names.
func (b *Box) isWatchHolder() bool {
	var names []string
	for _, m := range b.Table.Members() {
		if m.Zone == b.Settings.Zone && (m.State == membership.Live || m.Box == b.Settings.Box) {
			names = append(names, m.Box)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return decide.Hash("watch", names[i]) < decide.Hash("watch", names[j])
	})
	for i, n := range names {
		if n == b.Settings.Box {
			return i < WatchHolders
		}
	}
	return false
}

// ================================================================
// Configuration
// ================================================================

// watchPlatform keeps the configuration up to date with the platform while this box
// is a watch holder. Until the box is ready it reads the configuration in any case.
func (b *Box) watchPlatform() {
	pause := backoff{}
	var since uint64
	var listed time.Time
	for b.context.Err() == nil {
		if b.Ready() && !b.isWatchHolder() {
			listed = time.Time{}
			b.sleep(b.context, watchHolderCheckEvery)
			continue
		}
		var err error
		if time.Since(listed) > relistEvery {
			since, err = b.list()
			if err == nil {
				listed = time.Now()
			}
		} else {
			before := since
			since, err = b.watch(before)
			if since < before {
				// The platform's version fell: its store was restored to an older state.
				listed = time.Time{}
			}
		}
		if err != nil {
			b.log.Warn("platform did not answer", map[string]any{"error": err})
			listed = time.Time{}
			b.sleep(b.context, pause.next())
			continue
		}
		pause = backoff{}
	}
}

func (b *Box) list() (uint64, error) {
	page, err := b.Platform.List(b.context, config.Kind)
	if err != nil {
		return 0, err
	}
	b.platformAnswered()
	b.mergePage(page)
	b.Store.MarkSynced()
	b.requestRebuild()
	b.writeBack(page)
	return page.Version, nil
}

// writeBack writes objects back to the platform that are newer here than there, so
// that a store that was restored to an older state gets the newer revisions while a
// box still has them. If the list was only stale, these writes fail with a conflict.
func (b *Box) writeBack(page platform.Page) {
	versions := map[string]uint64{}
	stored := map[string]*config.Object{}
	for _, p := range page.Objects {
		versions[p.Name] = p.Version
		if o, err := config.Decode(p); err == nil {
			stored[p.Name] = o
		}
	}
	for _, o := range b.Store.All() {
		if !o.Newer(stored[o.Name]) {
			continue
		}
		value, err := json.Marshal(o)
		if err != nil {
			b.log.Warn("newer revision could not be encoded", map[string]any{"service": o.Name, "revision": o.Revision, "error": err})
			continue
		}
		_, err = b.Platform.Put(b.context, platform.Object{Kind: config.Kind, Name: o.Name, Version: versions[o.Name], Value: value})
		if err != nil {
			b.log.Info("newer revision was not written back", map[string]any{"service": o.Name, "revision": o.Revision, "error": err})
			continue
		}
		b.log.Warn("wrote a newer revision back", map[string]any{"service": o.Name, "revision": o.Revision})
	}
}

func (b *Box) watch(since uint64) (uint64, error) {
	page, err := b.Platform.Watch(b.context, config.Kind, since)
	if err != nil {
		return since, err
	}
	b.platformAnswered()
	b.mergePage(page)
	return page.Version, nil
}

func (b *Box) mergePage(page platform.Page) {
	for _, p := range page.Objects {
		o, err := config.Decode(p)
		if err != nil {
			b.log.Warn("ignored a configuration object that cannot be decoded", map[string]any{"error": err})
			continue
		}
		if here := b.Store.Get(o.Name); here != nil && here.Newer(o) {
			b.log.Warn("ignored an older revision", map[string]any{"service": o.Name, "revision": o.Revision, "in_force": here.Revision})
			continue
		}
		b.Store.Merge(o)
	}
}

// ================================================================
// The list of boxes
// ================================================================

func (b *Box) watchBoxes() {
	pause := backoff{}
	for b.context.Err() == nil {
		list, err := b.Platform.Boxes(b.context)
		if err != nil {
			b.sleep(b.context, pause.next())
			continue
		}
		pause = backoff{}
		b.platformAnswered()
		b.Table.SetListed(list)
		b.requestRebuild()
		wait := boxListEveryOthers
		if b.isWatchHolder() {
			wait = boxListEvery
		}
		b.sleep(b.context, jitter(wait))
	}
}

// ================================================================
// Keys without a ticket
// ================================================================

// claim makes this box the owner of a key by creating an object for it in the
// platform, or returns the owner that claimed it earlier.
func (b *Box) claim(ctx context.Context, service, key string) (idempotency.Ticket, *outcome.Failure) {
	mine := idempotency.Ticket{Box: b.Settings.Box, Incarnation: b.Incarnation, Issued: b.age()}
	value, _ := json.Marshal(mine)
	object := platform.Object{Kind: KeysKind, Name: service + "." + hashName(key), Value: value}
	_, err := b.Platform.Put(ctx, object)
	if err == nil {
		return mine, nil
	}
	var conflict *platform.ConflictError
	var lost *platform.UnknownWriteError
	if !errors.As(err, &conflict) && !errors.As(err, &lost) {
		return idempotency.Ticket{}, platformDown(err)
	}
	// Another box was first, or the answer to this box's claim was lost. The stored
	// claim is final, since a claim is never overwritten.
	got, err := b.Platform.Get(ctx, KeysKind, object.Name)
	if err != nil {
		return idempotency.Ticket{}, platformDown(err)
	}
	var owner idempotency.Ticket
	if err := json.Unmarshal(got.Value, &owner); err != nil {
		return idempotency.Ticket{}, platformDown(err)
	}
	return owner, nil
}

func platformDown(err error) *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonPlatformDown, err.Error()).WithRetryAfter(time.Second)
}

// ================================================================
// Pauses
// ================================================================

// backoff returns exponentially growing pauses with jitter, so that boxes do not all
// call a recovering platform at once.
type backoff struct {
	last time.Duration
}

func (p *backoff) next() time.Duration {
	p.last = min(max(2*p.last, firstPause), longestPause)
	return jitter(p.last)
}

// jitter returns a random duration within a quarter of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
