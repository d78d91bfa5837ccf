package objects

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Parameters of a follower.
const (
	// callTimeout bounds a call in addition to the time that it was asked to wait.
	callTimeout = 1200 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. The pause doubles with
	// each failure, and a random duration between half of it and all of it is used.
	minRetry = 150 * time.Millisecond
	maxRetry = 1200 * time.Millisecond
	// batchPause is the pause after a watch that brought changes, so that one call returns
	// changes that follow soon after each other. It delays the next change and is a quarter of
	// the shortest bound on how soon a change must take effect.
	batchPause = 600 * time.Millisecond
	// minWait is the wait of the watch that follows a failure: its answer shows whether the
	// store answers again, whereas a watch that waits would return only with a change or at
	// the end of its wait.
	minWait = time.Millisecond
	// idleInterval is how often a follower that may not make calls checks Allowed again;
	// RetryNow ends the interval early.
	idleInterval = 500 * time.Millisecond
	// maxPages bounds the pages of one list.
	maxPages = 10_000
	// pagesAtOnce is how many pages of its first list a follower reads before it calls
	// ReadsAllPages, and turnInterval how often it then calls it.
	pagesAtOnce  = 2
	turnInterval = 25 * time.Millisecond
)

// Follower keeps a Mirror up to date.
type Follower struct {
	Client *Client
	Mirror *Mirror
	// Wait is how long a watch may wait for changes; NextWait, if set, returns the wait of
	// each watch in its place. A watch that was sent while the store did not respond may never
	// be answered. It is abandoned after Wait and callTimeout; until then the follower learns
	// of no changes of this kind, whatever the store answers to other watches.
	Wait     time.Duration
	NextWait func() time.Duration
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// Allowed reports whether this box may call the store; nil means that it may. It is called
	// before each call but the first list.
	Allowed func() bool
	// ReadsAllPages reports whether a box that has no list yet may read a long one to its end;
	// nil means that it may. Until then the box waits for another box to hand over the list.
	ReadsAllPages func() bool
	// NewestEra returns the newest era that this box has heard of, and OnEra is called with that
	// of each answer.
	NewestEra func() uint64
	OnEra     func(era uint64)
	// OnCall is called after each call, before OnSuccess or OnFailure.
	OnCall func(c Call)
	// OnSuccess is called after each call that was answered, OnFailure after each that was
	// not.
	OnSuccess func()
	OnFailure func(err error)
	// OnConfirmed is called with each answer to a watch once the mirror holds it: at the time
	// of the answer the mirror had all changes. A list confirms nothing, since changes go on
	// while its pages are read, and it may be stale.
	OnConfirmed func(a Answer)

	mu sync.Mutex
	// cancel ends the pending call; callStart is when the last call was made.
	cancel    context.CancelCauseFunc
	callStart time.Time
	// retryNow ends a pause after a failed call.
	retryNow chan struct{}
}

// Call describes a call to the store that has ended.
type Call struct {
	// Watch is true for a watch and false for a page of a list.
	Watch bool
	// Since is the revision from which a watch was requested, and Revision the store's
	// revision in the answer, of the era Era.
	Since, Revision uint64
	Era             uint64
	// Objects is the number of objects or changes in the answer.
	Objects int
	Took    time.Duration
	// Err is the reason why there is no answer, or nil if there is one.
	Err error
}

// Answer is an answer to a watch.
type Answer struct {
	At     time.Time
	Era    uint64
	Events []Event
}

// NewFollower returns a follower that does not run yet.
func NewFollower(client *Client, mirror *Mirror, wait time.Duration, random func() float64) *Follower {
	return &Follower{
		Client: client, Mirror: mirror, Wait: wait, Now: time.Now, Random: random,
		NewestEra: func() uint64 { return 0 }, OnEra: func(uint64) {},
		OnCall: func(Call) {}, OnSuccess: func() {}, OnFailure: func(error) {}, OnConfirmed: func(Answer) {}, retryNow: make(chan struct{}, 1),
	}
}

// RetryNow ends the pause after a failed call, because the store is known to answer.
func (f *Follower) RetryNow() {
	select {
	case f.retryNow <- struct{}{}:
	default:
	}
}

// Run follows the store until the context ends. It starts with a list that may be stale; then
// it watches, and lists again only if the store's history no longer goes back far enough.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	state := followState{stale: true}
	for ctx.Err() == nil {
		if f.isIdle(failures) {
			state.listed = f.Mirror.Synced()
			f.sleep(ctx, idleInterval)
			continue
		}
		if f.NewestEra() > f.Mirror.Version().Era {
			state = followState{compactions: state.compactions}
		}
		state.failed = failures > 0
		err := f.step(ctx, &state)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			f.OnSuccess()
			if state.batched {
				f.sleep(ctx, batchPause)
			}
			continue
		}
		var restarted *RestartedError
		if errors.As(err, &restarted) {
			continue
		}
		if mustList(err) {
			state = followState{compactions: state.compactions + 1}
			if failures == 0 && state.compactions == 1 {
				failures++
				continue
			}
			failures = max(failures, state.compactions-1)
		}
		f.OnFailure(err)
		f.pause(ctx, failures)
		failures++
	}
}

// isIdle reports whether the follower makes no calls for now because another box polls the
// store in its place. A follower that has no list yet makes one attempt by itself.
func (f *Follower) isIdle(failures int) bool {
	if f.Allowed == nil || f.Allowed() {
		return false
	}
	return f.Mirror.Synced() || failures > 0 && f.ReadsAllPages != nil && !f.ReadsAllPages()
}

// followState is the state of a running follower.
type followState struct {
	// listed means that the mirror holds a list to go on from.
	listed bool
	// stale means that the next list may be stale.
	stale bool
	// failed means that the previous call was not answered.
	failed bool
	// compactions is how many times in a row a list was needed without a watch that was answered.
	compactions int
	// batched means that the previous call brought changes and was followed by a pause.
	batched bool
}

// RestartedError reports that a call was ended by Restart. It says nothing about the store.
type RestartedError struct{}

// Error implements error.
func (e *RestartedError) Error() string { return "objects: the call was restarted" }

// Restart cancels the pending call, which then fails with a *RestartedError.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel(&RestartedError{})
	}
}

// RestartBefore cancels the pending call if it was made before the given time: the store may
// not have responded then, and in that case never answers the calls of that time.
func (f *Follower) RestartBefore(at time.Time) {
	if f.CallStart().Before(at) {
		f.Restart()
	}
}

// CallStart returns when the last call was made.
func (f *Follower) CallStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callStart
}

// begin records that a call is made now.
func (f *Follower) begin() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callStart = f.Now()
	return f.callStart
}

// step makes the next call. It returns the error of the call, or a *RestartedError if Restart
// ended it.
func (f *Follower) step(ctx context.Context, state *followState) error {
	callContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	err := f.call(callContext, state)
	var restarted *RestartedError
	if err != nil && errors.As(context.Cause(callContext), &restarted) {
		return restarted
	}
	return err
}
