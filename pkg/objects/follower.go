package objects

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Tuning of a follower.
const (
	// answerTime bounds a call beyond what it was asked to wait.
	answerTime = 1200 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failure, which
	// doubles each time and is spread by chance over half to all of itself.
	firstRetry   = 150 * time.Millisecond
	longestRetry = 1200 * time.Millisecond
	// gather is the pause after a change notification, so that changes that
	// come together are told by one call. It delays the next one, and is a
	// quarter of the shortest bound on how soon a change must count.
	gather = 600 * time.Millisecond
	// atOnce is the wait of the watch that follows a failure: it tells whether the
	// store answers again, where one that waits would tell it only with a change or
	// at the end of its wait.
	atOnce = time.Millisecond
	// idlePause is how often a follower that is not allowed looks whether it
	// is again; Hurry tells it sooner.
	idlePause = 500 * time.Millisecond
	// maxPages bounds one list.
	maxPages = 10_000
	// pagesAtOnce is how many pages of its first list a follower reads before it
	// asks ReadsOn, and readPoll how often it asks.
	pagesAtOnce = 2
	readPoll    = 25 * time.Millisecond
)

// Follower keeps a Mirror up to date.
type Follower struct {
	Client *Client
	Mirror *Mirror
	// Wait is how long a watch may go without changes; WaitNow, where it is set, returns it
	// anew for each watch. A watch that the store will
	// never answer, since it was asked for while the store said nothing, is given up
	// after Wait and answerTime; until then nothing is heard of this kind, whatever
	// the store answers to other watches.
	Wait     time.Duration
	NextWait func() time.Duration
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// Allowed reports whether this box is to ask the store; nil means that it
	// is. It is asked before each call but the first list.
	Allowed func() bool
	// ContinuesList reports whether a box that has no list yet is to read a long one;
	// nil means that it is. Until then it waits for another box to hand it over.
	ContinuesList func() bool
	// OnCall is told of each call, before Succeeded or Failed.
	OnCall func(c Call)
	// OnSuccess is called after each call that was answered, Failed after
	// each that was not.
	OnSuccess func()
	OnFailure func(err error)
	// OnConfirmed is called with each answer to a watch, when the mirror holds it: all that
	// had changed until then. A list confirms nothing, since changes go on while its pages
	// are read, and it may be stale.
	OnConfirmed func(a Answer)

	mu sync.Mutex
	// cancel ends the call that is waiting, and began is when it was made.
	cancel context.CancelCauseFunc
	began  time.Time
	// hurry ends a pause after a failure.
	hurry chan struct{}
}

// Call is one call of the store that has ended.
type Call struct {
	// Watch: it was a watch, else a page of a list.
	Watch bool
	// Since is the revision from which a watch was asked for, and Revision the store's
	// revision in the answer.
	Since, Revision uint64
	// Objects is how many objects or changes the answer holds.
	Objects int
	Took    time.Duration
	// Err is why there is no answer, nil if there is one.
	Err error
}

// Answer is an answer to a watch.
type Answer struct {
	At     time.Time
	Events []Event
}

// NewFollower makes a follower that does not run yet.
func NewFollower(client *Client, mirror *Mirror, wait time.Duration, random func() float64) *Follower {
	return &Follower{
		Client: client, Mirror: mirror, Wait: wait, Now: time.Now, Random: random,
		OnCall: func(Call) {}, OnSuccess: func() {}, OnFailure: func(error) {}, OnConfirmed: func(Answer) {}, hurry: make(chan struct{}, 1),
	}
}

// RetryNow ends the pause after a failure: the store is known to answer.
func (f *Follower) RetryNow() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Run follows until the context ends. It begins with a list that may be stale;
// from then on it watches, and lists anew only if the history is gone.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	state := following{stale: true}
	for ctx.Err() == nil {
		if f.waits(failures) {
			state.listed = f.Mirror.Synced()
			f.sleep(ctx, idlePause)
			continue
		}
		state.failed = failures > 0
		err := f.step(ctx, &state)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			f.OnSuccess()
			if state.gathers {
				f.sleep(ctx, gather)
			}
			continue
		}
		var restarted *RestartedError
		if errors.As(err, &restarted) {
			continue
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			state = following{}
			if failures == 0 {
				failures++
				continue
			}
		}
		f.OnFailure(err)
		f.pause(ctx, failures)
		failures++
	}
}

// waits reports whether the follower makes no calls for now: another box asks in
// its place. One that has no list yet tries once by itself.
func (f *Follower) waits(failures int) bool {
	if f.Allowed == nil || f.Allowed() {
		return false
	}
	return f.Mirror.Synced() || failures > 0 && f.ContinuesList != nil && !f.ContinuesList()
}

// following is how far a follower has come.
type following struct {
	// listed: the mirror holds a list to go on from.
	listed bool
	// stale: the next list may be.
	stale bool
	// failed: the call before was not answered.
	failed bool
	// gathers: the call before brought changes, and there was a pause after it.
	gathers bool
}

// RestartedError says that a call was ended by Restart. That tells nothing of the
// store.
type RestartedError struct{}

// Error implements error.
func (e *RestartedError) Error() string { return "objects: the call was restarted" }

// Restart ends the call that is waiting.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel(&RestartedError{})
	}
}

// RestartBefore ends the call that is waiting if it was made before the time: the
// store may have been silent then, and never answers what it was asked meanwhile.
func (f *Follower) RestartBefore(at time.Time) {
	if f.CallStart().Before(at) {
		f.Restart()
	}
}

// CallStart returns when the last call was made.
func (f *Follower) CallStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.began
}

// begin notes that a call is made now.
func (f *Follower) begin() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = f.Now()
	return f.began
}

// step makes the next call, or reads a list. The error is a *RestartedError or that
// of the call.
func (f *Follower) step(ctx context.Context, state *following) error {
	callContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	err := f.ask(callContext, state)
	var restarted *RestartedError
	if err != nil && errors.As(context.Cause(callContext), &restarted) {
		return restarted
	}
	return err
}
