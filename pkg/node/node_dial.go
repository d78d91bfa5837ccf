package node

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/relay"
)

// ================================================================
// Connections to the store, other boxes and backend servers.
// ================================================================

const (
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = 600 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged, because a machine
	// without power sends no error.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount configure the keep-alive probes on an idle
	// connection: a peer that has gone silent for good is detected within three seconds. A
	// waiting watch of the store sends nothing by itself, so without probes a dead connection
	// would go unnoticed for as long as the watch may wait.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 3
	// tcpUserTimeout is Linux's socket option TCP_USER_TIMEOUT, see tcp(7).
	tcpUserTimeout = 18
	// maxIdleConnections bounds the idle connections kept to one backend server.
	maxIdleConnections = 16
)

// dialer returns a dialer whose connections detect a machine without power.
func (n *Node) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		LocalAddr:       n.localAddress(),
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// keepAlive is the configuration of the probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// setUserTimeout sets how long sent bytes may stay unacknowledged. A kernel that does not know the
// option uses a longer time.
func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// localAddress returns the box's own IP address, by which others know it, as the source address
// of connections.
func (n *Node) localAddress() net.Addr {
	address, err := netip.ParseAddrPort(n.Settings.Advertise.Peers)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: address.Addr().AsSlice()}
}

// logIdleLimits logs how long connections may stay idle when a backend server has closed one
// that was idle.
func (n *Node) logIdleLimits(log *logging.Logger) {
	n.idle.OnChange = func(limit, rested time.Duration) {
		log.Info("a server closed an idle connection", map[string]any{
			"rested_ms": rested.Milliseconds(), "may_rest_ms": limit.Milliseconds(),
		})
	}
}

func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.traffic.counted(c), nil
}

// connect opens a TCP connection.
func (n *Node) connect(ctx context.Context, address string) (net.Conn, error) {
	return n.dialer().DialContext(ctx, "tcp4", address)
}

// dialServer connects to a backend server over this box's own link.
func (n *Node) dialServer(ctx context.Context, address string) (net.Conn, error) {
	metrics.GetOrRegisterCounter("backend.connections", n.Metrics).Inc(1)
	return n.dialPeer(ctx, address)
}

// poolKey identifies the connections to one incarnation of a server at one address.
type poolKey struct {
	incarnation string
	address     string
}

// pool returns the connections to a backend server. Each incarnation of a server has its own pool,
// so that no connection to an earlier server at the address is reused.
func (n *Node) pool(v *backend.Server) *exchange.Pool {
	key := poolKey{v.Incarnation(), v.Address}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pools[key]
	if p == nil {
		target := n.target(v)
		p = exchange.NewPool(v.Address, maxIdleConnections, n.dialTo(target))
		p.StillUsable = func(c net.Conn) bool { return n.mayReuse(target.Address, c) && exchange.StillUsable(c) }
		p.Now = n.Clock.Now
		p.Idle = n.idle
		n.pools[key] = p
	}
	return p
}

// target returns a server as a destination of connections for requests that may run in all regions.
func (n *Node) target(v *backend.Server) relay.Target {
	return relay.Target{Address: v.Address, Incarnation: v.Incarnation(), Region: n.Topology.RegionOf(v.Zone)}
}

// dialTo returns a function that connects to a server, directly or through another box.
func (n *Node) dialTo(t relay.Target) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) { return n.Relay.Dial(ctx, t) }
}

// restriction allows the connections to a backend server that requests bound to regions may use:
// direct ones, and those through boxes of the server's region.
func (n *Node) restriction(v *backend.Server) *exchange.Restriction {
	target := n.target(v)
	target.Bound = true
	dial := n.dialTo(target)
	return &exchange.Restriction{
		Allows: func(c net.Conn) bool { return staysIn(target.Region, c) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err == nil && !staysIn(target.Region, conn) {
				n.logOutside(v, conn)
			}
			return conn, err
		},
	}
}

// dropPools closes the connections to servers that are no longer listed.
func (n *Node) dropPools() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, p := range n.pools {
		if !n.Set.IsListedAt(key.incarnation, key.address) {
			p.Close()
			delete(n.pools, key)
		}
	}
}
