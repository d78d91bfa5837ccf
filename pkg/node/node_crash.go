package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
)

// crashCheckTimeout bounds the attempt to reach a backend server that has closed a connection
// without an answer: two round trips between regions. The port of a server that has ended
// refuses at once.
const crashCheckTimeout = 250 * time.Millisecond

// crashChecks are the running checks, by server incarnation. All requests that a server had when
// it ended wait for the same check.
type crashChecks struct {
	mu      sync.Mutex
	running map[string]*crashCheck
}

// crashCheck is one check; crashed is set before done is closed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// begin returns the check of a server and whether the caller has to perform it.
func (c *crashChecks) begin(id string) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running := c.running[id]; running != nil {
		return running, false
	}
	if c.running == nil {
		c.running = map[string]*crashCheck{}
	}
	check = &crashCheck{done: make(chan struct{})}
	c.running[id] = check
	return check, true
}

func (c *crashChecks) end(id string, check *crashCheck, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check.crashed = crashed
	delete(c.running, id)
	close(check.done)
}

// hasCrashed reports whether the server's port refuses connections. A server that leaves as
// planned has not crashed, and one that cannot be reached may only be cut off.
func (n *Node) hasCrashed(v *backend.Server) bool {
	check, first := n.crashes.begin(v.Incarnation())
	if !first {
		<-check.done
		return check.crashed
	}
	ctx, cancel := context.WithTimeout(n.context, crashCheckTimeout)
	defer cancel()
	err := n.pool(v).Probe(ctx)
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	if crashed {
		n.log.Info("server crashed", map[string]any{"server": v.ID, "service": v.Service, "address": v.Address})
	}
	n.crashes.end(v.Incarnation(), check, crashed)
	return crashed
}
