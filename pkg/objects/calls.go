package objects

import (
	"context"
	"errors"
	"time"
)

// ================================================================
// The calls of a follower, and the pauses between them.
// ================================================================

// call makes the next call: a list if the mirror has none to go on from, otherwise a watch.
func (f *Follower) call(ctx context.Context, state *followState) error {
	if !state.listed {
		if err := f.list(ctx, state.stale); err != nil {
			return err
		}
		state.listed = true
		return nil
	}
	wait := f.Wait
	if f.NextWait != nil {
		wait = f.NextWait()
	}
	switch {
	case state.failed:
		wait = minWait
	case state.batched:
		// After the pause, wait for the rest only, so that the store answers once per Wait
		// whether or not anything changes.
		wait = max(wait-batchPause, minWait)
	}
	state.batched = false
	changes, err := f.fetchChanges(ctx, wait)
	if err == nil {
		state.compactions = 0
	}
	state.batched = changes > 0
	return err
}

// fetchChanges makes a watch, applies the changes to the mirror and returns how many there
// were.
func (f *Follower) fetchChanges(ctx context.Context, wait time.Duration) (changes int, err error) {
	c, err := f.watch(ctx, wait)
	if err != nil {
		return 0, err
	}
	if err := f.checkEra(c.Era); err != nil {
		return 0, err
	}
	answered := f.Now()
	f.Mirror.Apply(c.Events, At(Position{Era: c.Era, Revision: c.Revision}))
	f.OnConfirmed(Answer{At: answered, Era: c.Era, Events: c.Events})
	return len(c.Events), nil
}

// Poll fetches and applies the changes since the mirror's revision once, without waiting and
// whether or not Allowed permits calls. The mirror must hold a list.
func (f *Follower) Poll(ctx context.Context) error {
	_, err := f.fetchChanges(ctx, minWait)
	if mustList(err) {
		return f.list(ctx, false)
	}
	return err
}

// mustList reports whether a watch failed so that only a list can help: asked again, it would bring
// the same changes and more. A list has no former states, and comes in pages.
func mustList(err error) bool {
	var compacted *CompactedError
	var newEra *NewEraError
	var tooLong *TooLongError
	return errors.As(err, &compacted) || errors.As(err, &newEra) || errors.As(err, &tooLong)
}

func (f *Follower) watch(ctx context.Context, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	start, since := f.begin(), f.Mirror.Version().Revision
	c, err := f.Client.Watch(ctx, f.Mirror.Kind, since, wait)
	f.OnCall(Call{Watch: true, Since: since, Era: c.Era, Revision: c.Revision, Objects: len(c.Events), Took: f.Now().Sub(start), Err: err})
	return c, err
}

// list reads all pages of a list. It returns early if another box hands over the first list.
func (f *Follower) list(ctx context.Context, stale bool) error {
	first, before := !f.Mirror.Synced(), f.Mirror.Version()
	var items []Object
	var extent Extent
	after := ""
	for page := range maxPages {
		if first && page >= pagesAtOnce {
			if err := f.awaitTurn(ctx); err != nil {
				return err
			}
			if f.Mirror.Synced() {
				return nil
			}
		}
		p, err := f.listPage(ctx, after, stale)
		if err != nil {
			return err
		}
		if page == 0 {
			extent = At(Position{Era: p.Era, Revision: p.Revision})
			f.OnEra(p.Era)
		}
		if p.Era != extent.Era {
			return &NewEraError{Kind: f.Mirror.Kind} // between two pages
		}
		extent.PartialTo = p.Revision
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Name
	}
	if own := f.Mirror.Version().Era; extent.Era != 0 && extent.Era < own {
		return &PastEraError{Kind: f.Mirror.Kind}
	}
	if !f.Mirror.Load(items, extent) && !stale && extent.Era == 0 && extent.CompleteTo < before.Revision {
		f.Mirror.LoadCopy(items, extent)
	}
	return nil
}

// listPage reads one page. Each page has a timeout of its own: a long list has many pages,
// which together take seconds from a region that is far from the store.
func (f *Follower) listPage(ctx context.Context, after string, stale bool) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := f.begin()
	p, err := f.Client.List(ctx, f.Mirror.Kind, after, stale)
	f.OnCall(Call{Era: p.Era, Revision: p.Revision, Objects: len(p.Items), Took: f.Now().Sub(start), Err: err})
	return p, err
}

// awaitTurn waits until this box may continue its list, or has been handed the list by another
// box. It returns the error of the context, if any.
func (f *Follower) awaitTurn(ctx context.Context) error {
	for f.ReadsAllPages != nil && !f.ReadsAllPages() && !f.Mirror.Synced() {
		f.sleep(ctx, turnInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) pause(ctx context.Context, failures int) {
	select {
	case <-f.retryNow:
		// The signal was meant for an earlier pause.
	default:
	}
	d := min(minRetry<<min(failures, 10), maxRetry)
	f.sleep(ctx, time.Duration(float64(d)*(0.5+f.Random()/2)))
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.retryNow:
	}
}
