package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/relay"
	"github.com/stoneworks/stoneworks/pkg/tunnel"
)

// ================================================================
// Connections to backend servers through other boxes.
// ================================================================

const (
	// relayEvery is how often broken links to servers are tried, and probedLinks how many of them.
	relayEvery  = 500 * time.Millisecond
	probedLinks = 4
	// relayLinger is how long after the last link has failed connections through other boxes may
	// still be open.
	relayLinger = 15 * time.Second
	// maxTunnels bounds the connections that a box passes on for others, whose buffers take some
	// 20 KB each.
	maxTunnels = 512
)

func (n *Node) newRelay(log *logging.Logger) {
	d := relay.NewDialer(n.Topology.RegionOf(n.Settings.Zone), n.Clock.Now, rand.Float64)
	d.Timeout = dialTimeout
	d.Direct, d.Through, d.Boxes, d.Go = n.dialServer, n.dialThrough, n.relayBoxes, n.background.Go
	d.Others = n.Set.OtherAddresses
	d.Paths.OnChange = func(address string, broken bool) {
		text, name := "link to a server works again", "relay.restored"
		if broken {
			text, name = "link to a server is broken, other boxes reach the server", "relay.broken"
		}
		metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1)
		log.Info(text, map[string]any{"address": address})
	}
	n.Relay = d
	n.tunnels = &tunnel.Server{
		Accepts:   n.acceptsTunnel,
		Dial:      n.dialForOther,
		LinksWork: d.LinksWork,
		Prepare:   func(c net.Conn) { n.prepareTunnel(log, c) },
		Count:     func(name string) { metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1) },
	}
}

// relayBoxes returns the boxes that may pass connections on. The more of its machine a box uses,
// the less of its capacity counts.
func (n *Node) relayBoxes() []relay.Box {
	var list []relay.Box
	n.Members.EachLive(func(r *gossip.Record) {
		if r.Ready && !r.Leaving {
			capacity := r.Capacity / float64(1+r.Use)
			list = append(list, relay.Box{Name: r.Box, Address: r.Peers, Region: n.Topology.RegionOf(r.Zone), Capacity: capacity})
		}
	})
	return list
}

// dialThrough connects to a server through another box. The error is a *relay.HelperError.
func (n *Node) dialThrough(ctx context.Context, box relay.Box, t relay.Target) (net.Conn, error) {
	metrics.GetOrRegisterCounter("relay.asked", n.Metrics).Inc(1)
	conn, err := n.dialPeer(ctx, box.Address)
	if err != nil {
		return nil, &relay.HelperError{Box: box.Name, Reason: relay.Unavailable, Cause: err}
	}
	c, err := tunnel.Open(ctx, conn, box.Name, t.Incarnation, t.Address)
	if err != nil {
		_ = conn.Close()
		return nil, &relay.HelperError{Box: box.Name, Reason: reasonOf(err), Cause: err}
	}
	c.Region = box.Region
	return c, nil
}

// staysIn reports whether a connection to a server passes through no other box than those of the
// region.
func staysIn(region string, c net.Conn) bool {
	relayed, ok := c.(*tunnel.Conn)
	return !ok || relayed.Region == region
}

// logOutside reports a connection that was opened for a request which must not use it.
func (n *Node) logOutside(v *backend.Server, c net.Conn) {
	fields := map[string]any{"server": v.ID, "zone": v.Zone}
	if relayed, ok := c.(*tunnel.Conn); ok {
		fields["box"], fields["box_region"] = relayed.Box, relayed.Region
	}
	metrics.GetOrRegisterCounter("relay.outside_regions", n.Metrics).Inc(1)
	n.log.Warn("a connection for a request bound to regions passes through another region", fields)
}

// reasonOf returns why a box did not open a tunnel.
func reasonOf(err error) relay.Reason {
	var refused *tunnel.StatusError
	if errors.As(err, &refused) {
		switch refused.Status {
		case tunnel.StatusServerRefused:
			return relay.ServerRefused
		case tunnel.StatusServerSilent:
			return relay.ServerSilent
		}
	}
	return relay.Unavailable
}

// mayReuse reports whether an open connection to a server may carry another request. One through
// another box is given up when the own link works again or that box leaves.
func (n *Node) mayReuse(address string, c net.Conn) bool {
	relayed, ok := c.(*tunnel.Conn)
	if !ok {
		return n.Relay.Paths.MayReuse(address)
	}
	return n.Relay.Paths.State(address) != relay.Working && n.Members.Stays(relayed.Box) && !relayed.Retired()
}

// isPathLost determines whether an exchange failed because of the link to the server, or of the
// box that passed it on, and records what that shows of the link.
func (n *Node) isPathLost(v *backend.Server, err error) bool {
	var restricted *exchange.RestrictionError
	if relay.IsNoPath(err) || errors.As(err, &restricted) {
		return true
	}
	var x *exchange.Error
	if !errors.As(err, &x) || !x.Sent {
		return false
	}
	if x.Via != "" {
		return !exchange.ClosedUnanswered(err) && !errors.Is(err, context.DeadlineExceeded)
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		n.Relay.Paths.ObserveFailed(v.Address)
	}
	return n.Relay.Paths.State(v.Address) != relay.Working
}

// tickRelay tries broken links, and closes idle connections over links and through boxes that are
// not to be used any more. It does nothing while all links work.
func (n *Node) tickRelay() {
	if n.Relay.Paths.AllWorkFor(relayLinger) {
		return
	}
	addresses := map[string]bool{}
	n.mu.Lock()
	pools := make([]*exchange.Pool, 0, len(n.pools))
	for key, p := range n.pools {
		addresses[key.address] = true
		pools = append(pools, p)
	}
	n.mu.Unlock()
	n.Relay.Paths.Expire(func(address string) bool { return addresses[address] })
	n.Relay.ProbeBroken(n.context, probedLinks)
	for _, p := range pools {
		p.CloseUnusable()
	}
}

// ----------------------------------------------------------------
// For other boxes
// ----------------------------------------------------------------

// withTunnels returns a handler that also serves other boxes' requests for tunnels.
func (n *Node) withTunnels(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			n.tunnels.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// acceptsTunnel reports whether this box passes a connection to a server on. It does so only where
// its own link may work, since otherwise two boxes could pass it to each other.
func (n *Node) acceptsTunnel(server, address string) bool {
	switch {
	case n.leaving.Load(), n.tunnels.Open() >= maxTunnels, n.asksToClose():
		return false
	case !n.Set.IsUsableAt(server, address), n.Set.IsBackedOff(server):
		return false
	}
	return n.Relay.Paths.State(address) == relay.Working
}

// dialForOther connects to a server for another box, over this box's own link only.
func (n *Node) dialForOther(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.dialServer(ctx, address)
	switch {
	case err == nil:
		n.Relay.Paths.ObserveConnected(address)
	case ctx.Err() == nil:
		n.Relay.Paths.ObserveFailed(address)
	}
	return conn, err
}

// ----------------------------------------------------------------
// Servers that ask for a backoff
// ----------------------------------------------------------------

// A server that asks for a backoff sees the box whose connection it is, and not the one whose
// request it was. So both keep the backoff, and so does a box that passes on for others.

const (
	// pathBackoff is the path at which a box learns that a server has asked it for a backoff in
	// an answer that it has passed on; the server's incarnation follows it.
	pathBackoff = "/v1/backoffs/"
	// backoffCallTimeout bounds the call.
	backoffCallTimeout = time.Second
)

// tellBackoff tells a box of the backoff that a server has asked it for.
func (n *Node) tellBackoff(box, server string, backoff time.Duration) {
	address := n.Members.PeersOf(box)
	if address == "" {
		return
	}
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.context, backoffCallTimeout)
		defer cancel()
		target := fmt.Sprintf("http://%s%s%s?ms=%d", address, pathBackoff, url.PathEscape(server), backoff.Milliseconds())
		if err := n.callPeer(ctx, http.MethodPost, target); err != nil {
			n.log.Warn("a box could not be told of a server's backoff", map[string]any{"box": box, "server": server, "error": err.Error()})
		}
	})
}

// callPeer makes a call without bodies to another box. The error is a *PeerError or that of the
// call.
func (n *Node) callPeer(ctx context.Context, method, target string) error {
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return err
	}
	answer, err := n.peerClient().Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return &PeerError{Address: r.Host, Status: answer.StatusCode}
	}
	return nil
}

// serveBackoff processes what another box tells of a backoff.
func (n *Node) serveBackoff(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil || ms <= 0 {
		http.Error(w, "ms must be a positive number", http.StatusBadRequest)
		return
	}
	n.backOff(r.PathValue("server"), time.Duration(ms)*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// backOff keeps this box, and others through it, from sending requests to a server for a while.
func (n *Node) backOff(server string, backoff time.Duration) {
	n.tunnels.Retire(server)
	if n.Set.BackOff(server, backoff) {
		n.log.Info("server asks this box to back off", map[string]any{"server": server, "rest_ms": backoff.Milliseconds()})
	}
}

// prepareTunnel makes the connection from another box detect that its machine has lost power.
func (n *Node) prepareTunnel(log *logging.Logger, c net.Conn) {
	tcp, ok := c.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw)
	}
	if err == nil {
		err = tcp.SetKeepAliveConfig(keepAlive)
	}
	if err != nil {
		log.Warn("a tunnel cannot detect the loss of its box", map[string]any{"from": c.RemoteAddr().String(), "error": err.Error()})
	}
}
