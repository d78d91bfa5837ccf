// Package faultproxy is a TCP proxy that does harm on purpose.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what happens to a connection; the zero value is nothing.
type Fault struct {
	// Delay of every piece of data, one way.
	Delay time.Duration
	// HoldRequests and HoldAnswers keep data back, as a cut link does, until
	// the fault is lifted.
	HoldRequests bool
	HoldAnswers  bool
	// Reset breaks connections.
	Reset bool
	// TruncateAnswers breaks connections after so many bytes of answers.
	TruncateAnswers int
	// TruncateRequests does the same to requests.
	TruncateRequests int
}

func (f Fault) limit(answers bool) int {
	if answers {
		return f.TruncateAnswers
	}
	return f.TruncateRequests
}

// Proxy passes connections from its own address on to a target.
type Proxy struct {
	// Target is where connections go; see SetTarget.
	Target string
	// KeepSource makes connections leave from the IP number of whoever opened
	// them, which has to be one of this machine. Set it before the first one.
	KeepSource bool
	// Hits counts the pieces of data and connections that met a fault.
	Hits atomic.Int64

	address  string
	listener net.Listener
	mu       sync.Mutex
	rule     func(source string) Fault
	changed  chan struct{}
	pairs    map[*pair]bool
}

// pair is a connection with the one that it is passed on to.
type pair struct {
	from, to *net.TCPConn
	// silenced is closed when nothing passes any more, ended when the pair is broken.
	silenced, ended chan struct{}
	once            sync.Once
}

// abort resets both connections.
func (c *pair) abort() {
	c.once.Do(func() { close(c.ended) })
	reset(c.from)
	reset(c.to)
}

// New starts a proxy.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Target: target, address: l.Addr().String(), listener: l, changed: make(chan struct{}), rule: func(string) Fault { return Fault{} }, pairs: map[*pair]bool{}}
	go p.accept(l)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Close stops taking connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// Down has the address refuse connections, as that of a process that has ended does; those
// that are open go on. Up takes connections again.
func (p *Proxy) Down() { p.Close() }

// Up ends Down.
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

// SetTarget sends connections that are opened from now on elsewhere.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Target = target
}

// dial opens the connection to the target.
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

// Set replaces the rule, which gives the fault of connections from a source.
func (p *Proxy) Set(rule func(source string) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetAll gives all connections one fault; Clear lifts every fault.
func (p *Proxy) SetAll(f Fault) { p.Set(func(string) Fault { return f }) }

// Clear lifts every fault.
func (p *Proxy) Clear() { p.SetAll(Fault{}) }

// Silence makes the connections that are open now say nothing any more, while new ones
// work. They break after a while, as when a kernel's keep-alive probes have found out.
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

// pump copies one direction, and passes an end of it on.
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

// pass waits for whatever holds the data back; false breaks the connection.
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

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
