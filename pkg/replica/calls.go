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
// What is told of the calls of the platform's store, kind by kind: one watch may
// hear nothing any more while another one is answered.
// ================================================================

// tellsCalls returns what is to be called with each call for a kind of objects. It
// tells how long ago the store last answered, the first call of a row that was not
// answered, and the first one that is again; each single call in lines for debugging.
func (r *Replica) tellsCalls(kind string) func(c objects.Call) {
	var answered atomic.Int64
	answered.Store(int64(r.contact.age()))
	gauge := metrics.NewFunctionalGauge(func() int64 {
		return (r.contact.age() - time.Duration(answered.Load())).Milliseconds()
	})
	if err := r.Metrics.Register("store.answered_ago."+kind, gauge); err != nil {
		r.StoreLog.Warn("metric not told", map[string]any{"kind": kind, "error": err.Error()})
	}
	var mu sync.Mutex
	failed := 0
	return func(c objects.Call) {
		mu.Lock()
		defer mu.Unlock()
		silent := r.contact.age() - time.Duration(answered.Load())
		r.StoreLog.Debug("call ended", callFields(kind, c))
		if isAnswer(c.Err) {
			answered.Store(int64(r.contact.age()))
			if failed > 0 {
				r.StoreLog.Info("store answers again", map[string]any{"kind": kind, "silent_ms": silent.Milliseconds(), "failed": failed})
			}
			failed = 0
			return
		}
		if !r.watching.Load() {
			// Calls of a box that has left the role are cut short.
			failed = 0
			return
		}
		failed++
		if failed == 1 {
			r.StoreLog.Warn("store does not answer", callFields(kind, c))
		}
	}
}

// isAnswer reports whether a call that ended so was answered by the store.
func isAnswer(err error) bool {
	var compacted *objects.CompactedError
	return err == nil || errors.As(err, &compacted)
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
