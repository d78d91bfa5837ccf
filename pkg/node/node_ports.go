package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/customerstats"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/graceful"
	"github.com/stoneworks/stoneworks/pkg/pipeline"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/pkg/rollout"
	"github.com/stoneworks/stoneworks/pkg/routing"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// HTTPHandler serves HTTP.
type HTTPHandler = http.Handler

// ports are the box's open sockets.
type ports struct {
	datagrams *net.UDPConn
	// clients accepts the connections of clients from clientSocket; callers are the open ones.
	clients      net.Listener
	clientSocket *graceful.Listener
	callers      *graceful.Connections
	// servers and sockets are those of the other ports, and others their open connections.
	servers []*http.Server
	sockets []*graceful.Listener
	others  *graceful.Connections

	mu sync.Mutex
	// clientServer serves clients. It is replaced when limits change; a replaced server serves
	// only the connections that it already has.
	clientServer  *http.Server
	clientServers []*http.Server
	handoff       *handoffListener
	limits        routing.Limits
	handler       http.Handler
	// pipelined serves requests that clients send before the previous answer has arrived.
	pipelined *pipeline.Handler
}

// handoffListener is a listener whose connections are handed to it through a channel.
type handoffListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// setLimits replaces the server for clients, so that new connections are served with the limits.
func (p *ports) setLimits(limits routing.Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handler == nil || limits == p.limits {
		p.limits = limits
		return
	}
	p.limits = limits
	p.replaceClientServer()
}

func (p *ports) replaceClientServer() {
	old := p.handoff
	p.clientServer = &http.Server{
		Handler:           p.handler,
		ReadHeaderTimeout: p.limits.HeaderTimeout,
		IdleTimeout:       p.limits.IdleTimeout,
		// net/http adds some bytes for its own bookkeeping.
		MaxHeaderBytes: p.limits.HeaderBytes,
		ErrorLog:       nil,
		ConnContext:    pipeline.ConnContext,
	}
	p.callers.Attach(p.clientServer)
	p.clientServers = append(p.clientServers, p.clientServer)
	p.handoff = &handoffListener{Listener: p.clients, accepted: make(chan net.Conn), closed: make(chan struct{})}
	server, in := p.clientServer, p.handoff
	go func() { _ = server.Serve(in) }()
	if old != nil {
		_ = old.Close()
	}
}

// serveClients accepts the clients' connections and hands them to the current server.
func (p *ports) serveClients(handler *pipeline.Handler) {
	p.mu.Lock()
	p.handler, p.pipelined = handler, handler
	if p.limits == (routing.Limits{}) {
		p.limits = routing.DefaultLimits
	}
	p.replaceClientServer()
	p.mu.Unlock()
	for {
		c, err := p.clients.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		p.handOff(p.callers.Wrap(p.pipelined.Wrap(c)))
	}
}

func (p *ports) handOff(c net.Conn) {
	for {
		p.mu.Lock()
		in := p.handoff
		p.mu.Unlock()
		select {
		case in.accepted <- c:
			return
		case <-in.closed:
			p.mu.Lock()
			same := in == p.handoff
			p.mu.Unlock()
			if same {
				_ = c.Close()
				return
			}
		}
	}
}

// closeClients stops accepting clients' connections and closes those that are open, once no
// request is on them. The error is that of closing the listener.
func (p *ports) closeClients(ctx context.Context) error {
	err := p.clientSocket.CloseInOrder()
	p.callers.Close(ctx)
	return err
}

// closeOthers does the same for all other ports.
func (p *ports) closeOthers(ctx context.Context) error {
	var failure error
	for _, l := range p.sockets {
		failure = errors.Join(failure, l.CloseInOrder())
	}
	p.others.Close(ctx)
	return failure
}

func (p *ports) close() {
	if p.datagrams != nil {
		_ = p.datagrams.Close()
	}
	if p.clients != nil {
		_ = p.clients.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range append(p.servers, p.clientServers...) {
		_ = s.Close()
	}
}

// ----------------------------------------------------------------
// Opening
// ----------------------------------------------------------------

// listen opens all ports. The error is a *settings.ListenError.
func (n *Node) listen() error {
	a := n.Settings.Listen
	address, err := net.ResolveUDPAddr("udp4", a.Peers)
	if err == nil {
		n.ports.datagrams, err = net.ListenUDP("udp4", address)
	}
	if err != nil {
		return &settings.ListenError{Port: "peers", Address: a.Peers, Cause: err}
	}
	if n.ports.clientSocket, err = listenTCP("callers", a.Callers); err != nil {
		return err
	}
	n.ports.clients = n.newClientListener(n.ports.clientSocket)
	n.ports.callers = n.newConnections()
	n.ports.others = n.newConnections()
	peers := http.NewServeMux()
	peers.HandleFunc("GET "+pathMirror+"{kind}", n.serveMirror)
	peers.HandleFunc("POST "+pathBackoff+"{server}", n.serveBackoff)
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", n.serveMetrics)
	admin.HandleFunc("GET "+customerstats.Path, n.serveCustomers)
	admin.HandleFunc("GET "+serverstatus.PathLimits, n.serveLimits)
	admin.HandleFunc("GET "+serverstatus.PathStatuses, n.serveSaid)
	admin.HandleFunc("GET "+gossip.PathFleet, n.serveFleet)
	admin.HandleFunc("GET "+quarantine.Path, n.serveQuarantine)
	admin.HandleFunc("DELETE "+quarantine.Path+"/{fingerprint}", n.serveRelease)
	admin.HandleFunc("GET "+rollout.Path, n.serveRollouts)
	admin.HandleFunc("POST "+rollout.Path+"/{service}/{request}", n.serveRolloutRequest)
	for _, p := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"peers", a.Peers, n.withTunnels(peers)},
		{"admin", a.Admin, admin},
		{"ready", a.Ready, n.adapter.Readiness(n.Ready)},
		{"directory", a.Directory, n.adapter.Directory(n.Directory.Resolve)},
	} {
		if err := n.serve(p.name, p.address, p.handler); err != nil {
			return err
		}
	}
	return nil
}

// listenTCP opens a port. The error is a *settings.ListenError.
func listenTCP(name, address string) (*graceful.Listener, error) {
	l, err := graceful.Listen(address)
	if err != nil {
		return nil, &settings.ListenError{Port: name, Address: address, Cause: err}
	}
	return l, nil
}

func (n *Node) serve(name, address string, handler http.Handler) error {
	l, err := listenTCP(name, address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: routing.DefaultLimits.HeaderTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: routing.DefaultLimits.HeaderBytes,
	}
	n.ports.others.Attach(s)
	n.ports.servers, n.ports.sockets = append(n.ports.servers, s), append(n.ports.sockets, l)
	n.background.Go(func() { _ = s.Serve(wrappingListener{n.newOtherListener(name, l), n.ports.others}) })
	return nil
}

// wrappingListener adds the connections that it accepts to a set.
type wrappingListener struct {
	net.Listener
	connections *graceful.Connections
}

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.Wrap(c), nil
}

// newConnections returns a set of connections that reports what happens to them.
func (n *Node) newConnections() *graceful.Connections {
	g := graceful.New()
	g.ObserveFirstByte = func(d time.Duration) {
		metrics.GetOrRegisterTimer("connections.first_byte", n.Metrics).Update(d)
	}
	g.OnUnanswered = n.logUnanswered
	g.Heads = &n.heads
	return g
}

// logUnanswered reports a connection that the box has closed with a request on it that got no
// answer.
func (n *Node) logUnanswered(u graceful.Unanswered) {
	metrics.GetOrRegisterCounter("connections.unanswered", n.Metrics).Inc(1)
	n.log.Info("connection closed without an answer", map[string]any{
		"bytes": u.Bytes, "age_ms": u.Age.Milliseconds(), "first_byte_ms": u.FirstByte.Milliseconds(),
		"last_byte_ms": u.LastByte.Milliseconds(), "leaving": n.leaving.Load(), "closed": n.closed.Load(),
	})
}

// clientHandler returns the handler of clients' requests. It serves pipelined requests
// concurrently.
func (n *Node) clientHandler() *pipeline.Handler {
	return &pipeline.Handler{
		Next: n.countRequests(n.Ingress), MayServeAhead: n.Ingress.MayServeAhead, Count: n.Ingress.Count,
		Heads: &n.heads,
	}
}

// countRequests counts the requests in progress and records when the last one arrived.
func (n *Node) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Clock.Sync()
		n.lastRequest.Store(int64(n.uptime()))
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}
