// Package faultproxy is a TCP proxy that injects faults into the connections that it forwards.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what the proxy does to a connection. The zero value forwards it unchanged.
type Fault struct {
	// Delay is added to each chunk of data that is forwarded, in each direction.
	Delay time.Duration
	// HoldRequests and HoldAnswers hold back the data of one direction until the fault is
	// cleared, as a broken link does.
	HoldRequests bool
	HoldAnswers  bool
	// Reset closes connections with a TCP reset.
	Reset bool
	// TruncateAnswers is the number of bytes of answers after which connections are reset; 0
	// means no limit.
	TruncateAnswers int
	// TruncateRequests is the same for requests.
	TruncateRequests int
}

// limit returns the number of bytes after which one direction is truncated, or 0.
func (f Fault) limit(answers bool) int {
	if answers {
		return f.TruncateAnswers
	}
	return f.TruncateRequests
}

// Proxy forwards connections to a target.
type Proxy struct {
	// Target is the address that new connections are forwarded to; see SetTarget.
	Target string
	// KeepSource makes the proxy dial from the IP address of the client, which has to be an
	// address of this machine. It has to be set before the first connection.
	KeepSource bool
	// Hits counts the chunks of data and the connections that a fault was applied to.
	Hits atomic.Int64

	address  string
	listener net.Listener
	mu       sync.Mutex
	rule     func(source string) Fault
	changed  chan struct{}
	pairs    map[*pair]bool
}

// pair is a client's connection and the connection to the target that it is forwarded over.
type pair struct {
	from, to *net.TCPConn
	// silenced is closed when no more data is forwarded, ended when the pair is reset.
	silenced, ended chan struct{}
	once            sync.Once
}

// abort closes both connections with a reset.
func (c *pair) abort() {
	c.once.Do(func() { close(c.ended) })
	reset(c.from)
	reset(c.to)
}

// New starts a proxy that listens at listen and forwards to target.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Target: target, address: l.Addr().String(), listener: l, changed: make(chan struct{}), rule: func(string) Fault { return Fault{} }, pairs: map[*pair]bool{}}
	go p.accept(l)
	return p, nil
}

// Address returns the address that the proxy listens at.
func (p *Proxy) Address() string { return p.address }

// Close stops accepting connections. Open connections continue.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// Down makes the address refuse new connections, as that of an exited process does. Open
// connections continue. Up accepts connections again.
func (p *Proxy) Down() { p.Close() }

// Up listens again after Down.
func (p *Proxy) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// SetTarget changes the target of connections that are opened from now on.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Target = target
}

// dial opens a connection to the target, from the source address if KeepSource is set.
func (p *Proxy) dial(source string) (net.Conn, error) {
	p.mu.Lock()
	target := p.Target
	p.mu.Unlock()
	dialer := net.Dialer{}
	if p.KeepSource {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return dialer.Dial("tcp", target)
}

// Set replaces the rule, which returns the fault of connections from a source address.
func (p *Proxy) Set(rule func(source string) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetAll applies one fault to all connections.
func (p *Proxy) SetAll(f Fault) { p.Set(func(string) Fault { return f }) }

// Clear removes all faults.
func (p *Proxy) Clear() { p.SetAll(Fault{}) }

// Silence stops forwarding data on the connections that are open now; new ones work. The
// silenced ones are reset after breakAfter, as when the kernel's keep-alive probes fail.
func (p *Proxy) Silence(breakAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		select {
		case <-c.silenced:
			continue
		default:
		}
		close(c.silenced)
		p.Hits.Add(1)
		time.AfterFunc(breakAfter, c.abort)
	}
}

// fault returns the fault of a source, and a channel that is closed when the rule changes.
func (p *Proxy) fault(source string) (Fault, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rule(source), p.changed
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(c *net.TCPConn) {
	source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if f, _ := p.fault(source); f.Reset {
		p.Hits.Add(1)
		reset(c)
		return
	}
	t, err := p.dial(source)
	if err != nil {
		reset(c)
		return
	}
	conns := &pair{from: c, to: t.(*net.TCPConn), silenced: make(chan struct{}), ended: make(chan struct{})}
	p.mu.Lock()
	p.pairs[conns] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pairs, conns)
	}()
	go p.pump(conns, conns.from, conns.to, source, false)
	p.pump(conns, conns.to, conns.from, source, true)
}

// pump copies the data of one direction. At its end it closes the write side of the other
// connection, and for answers the whole connection.
func (p *Proxy) pump(conns *pair, from, to *net.TCPConn, source string, answers bool) {
	buffer := make([]byte, 32<<10)
	passed := 0
	for {
		n, err := from.Read(buffer)
		select {
		case <-conns.silenced:
			<-conns.ended
			return
		default:
		}
		if !p.pass(to, buffer[:n], source, answers, &passed) {
			conns.abort()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			if answers {
				_ = to.Close()
			}
			return
		}
	}
}

// pass applies the current fault to the data and writes it. It waits while the fault holds the
// direction back, and returns false if the connection is to be reset.
func (p *Proxy) pass(to *net.TCPConn, data []byte, source string, answers bool, passed *int) bool {
	hit := false
	for {
		f, changed := p.fault(source)
		held := f.HoldRequests && !answers || f.HoldAnswers && answers
		if !hit && (held || f.Reset || f.Delay > 0 || f.limit(answers) > 0) {
			hit = true
			p.Hits.Add(1)
		}
		if f.Reset {
			return false
		}
		if held {
			<-changed
			continue
		}
		time.Sleep(f.Delay)
		if left := f.limit(answers) - *passed; f.limit(answers) > 0 && len(data) > left {
			_, _ = to.Write(data[:max(left, 0)])
			return false
		}
		n, err := to.Write(data)
		*passed += n
		return err == nil
	}
}

// reset closes the connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
