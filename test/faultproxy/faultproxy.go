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

	listener net.Listener
	mu       sync.Mutex
	rule     func(source string) Fault
	changed  chan struct{}
}

// New starts a proxy.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Target: target, listener: l, changed: make(chan struct{}), rule: func(string) Fault { return Fault{} }}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops taking connections.
func (p *Proxy) Close() { _ = p.listener.Close() }

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

func (p *Proxy) fault(source string) (Fault, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rule(source), p.changed
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
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
	target := t.(*net.TCPConn)
	go p.pump(c, target, source, false)
	p.pump(target, c, source, true)
}

// pump copies one direction, and passes an end of it on.
func (p *Proxy) pump(from, to *net.TCPConn, source string, answers bool) {
	buffer := make([]byte, 32<<10)
	passed := 0
	for {
		n, err := from.Read(buffer)
		if !p.pass(to, buffer[:n], source, answers, &passed) {
			reset(from)
			reset(to)
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
