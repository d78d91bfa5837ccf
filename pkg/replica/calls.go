package replica

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// Logs and metrics about calls to the platform's store, kind by kind: one watch may get no
// answers any more while another one does.
// ================================================================

// newCallReporter returns a function that is to be called with each call for a kind of
// objects. It reports how long ago the store last answered, the first of consecutive failed
// calls and the first answer after them, and every call in debug lines.
func (r *Replica) newCallReporter(kind string) func(c objects.Call) {
	var answered atomic.Int64
	answered.Store(int64(r.contact.sinceStart()))
	gauge := metrics.NewFunctionalGauge(func() int64 {
		return (r.contact.sinceStart() - time.Duration(answered.Load())).Milliseconds()
	})
	if err := r.Metrics.Register("store.answered_ago."+kind, gauge); err != nil {
		r.StoreLog.Warn("cannot register the metric", map[string]any{"kind": kind, "error": err.Error()})
	}
	var mu sync.Mutex
	failed := 0
	return func(c objects.Call) {
		mu.Lock()
		defer mu.Unlock()
		silent := r.contact.sinceStart() - time.Duration(answered.Load())
		r.StoreLog.Debug("call ended", callFields(kind, c))
		if isTooLong(c.Err) {
			r.StoreLog.Warn("answer of the store is too long; the kind is listed", callFields(kind, c))
		}
		if isAnswer(c.Err) {
			answered.Store(int64(r.contact.sinceStart()))
			if failed > 0 {
				r.StoreLog.Info("store answers again", map[string]any{"kind": kind, "silent_ms": silent.Milliseconds(), "failed": failed})
			}
			failed = 0
			return
		}
		if !r.isPoller.Load() {
			// A box that is no longer a poller cancels its calls.
			failed = 0
			return
		}
		failed++
		if failed == 1 {
			r.StoreLog.Warn("store does not answer", callFields(kind, c))
		}
	}
}

// isAnswer reports whether a call with this error was answered by the store.
func isAnswer(err error) bool {
	var compacted *objects.CompactedError
	return err == nil || errors.As(err, &compacted) || isTooLong(err)
}

// isTooLong reports whether the answer to a call was too long to be read.
func isTooLong(err error) bool {
	var tooLong *objects.TooLongError
	return errors.As(err, &tooLong)
}

func callFields(kind string, c objects.Call) map[string]any {
	fields := map[string]any{"kind": kind, "watch": c.Watch, "since": c.Since, "took_ms": c.Took.Milliseconds()}
	if c.Err != nil {
		fields["error"] = c.Err.Error()
		return fields
	}
	fields["revision"], fields["objects"] = c.Revision, c.Objects
	return fields
}
