package node

import (
	"io"
	"net"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// ================================================================
// How much of its machine the box uses.
// ================================================================

// traffic counts what passes the box's sockets.
type traffic struct {
	received, sent atomic.Uint64
	// open is the number of open connections.
	open atomic.Int64
}

// descriptors returns how many descriptors the box has open.
func (t *traffic) descriptors() int { return int(t.open.Load()) + fixedDescriptors }

// fixedDescriptors is how many descriptors a box has open besides its connections: ports, the
// runtime's own and standard files.
const fixedDescriptors = 16

// counted returns the connection with its bytes counted. Connections that are not TCP are
// returned as they are.
func (t *traffic) counted(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	t.open.Add(1)
	return &countedConn{TCPConn: tcp, traffic: t, onClose: func() {}}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	*net.TCPConn
	traffic *traffic
	closed  atomic.Bool
	// onClose is called once when the connection closes.
	onClose func()
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// WriteTo implements io.WriterTo.
func (c *countedConn) WriteTo(w io.Writer) (int64, error) {
	n, err := c.TCPConn.WriteTo(w)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.traffic.open.Add(-1)
		c.onClose()
	}
	return c.TCPConn.Close()
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.counted(c), nil
}

// refusingListener closes connections at once while it refuses them, close to the limit of
// descriptors, so that a client uses another box without waiting.
type refusingListener struct {
	countedListener
	// refuses reports whether a connection is refused, given how many others of the listener are open.
	refuses func(open int) bool
	refused func()
	// open is the number of open connections.
	open *atomic.Int64
}

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.countedListener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refuses(int(l.open.Load())) {
			_ = c.Close()
			l.refused()
			continue
		}
		if counted, ok := c.(*countedConn); ok {
			l.open.Add(1)
			counted.onClose = func() { l.open.Add(-1) }
		}
		return c, nil
	}
}

// newClientListener wraps the listener for clients.
func (n *Node) newClientListener(l net.Listener) net.Listener {
	return n.newListener(l, "connections.refused", func(int) bool {
		return n.Utilization.Sizes.RefusesConnections(n.traffic.descriptors())
	})
}

// newOtherListener wraps the listener of another port.
func (n *Node) newOtherListener(name string, l net.Listener) net.Listener {
	return n.newListener(l, "connections.refused_other."+name, func(open int) bool {
		return n.Utilization.Sizes.RefusesAtPort(n.traffic.descriptors(), open)
	})
}

// newListener wraps a listener that counts the connections that it refuses in a metric.
func (n *Node) newListener(l net.Listener, metric string, refuses func(open int) bool) net.Listener {
	return refusingListener{
		countedListener: countedListener{l, &n.traffic},
		refuses:         refuses,
		refused:         func() { gometrics.GetOrRegisterCounter(metric, n.Metrics).Inc(1) },
		open:            &atomic.Int64{},
	}
}

// asksToClose reports whether clients are to close their connections, since descriptors run short.
func (n *Node) asksToClose() bool {
	return n.Utilization.Sizes.AsksToClose(n.traffic.descriptors())
}

// newUtilization creates the meter for the sizes of the settings.
func (n *Node) newUtilization(m settings.Machine, log *logging.Logger) {
	n.Utilization = &utilization.Meter{
		Sizes: utilization.Sizes{Cores: m.Cores, LinkMbps: m.LinkMbps, MemoryMB: m.MemoryMB, Descriptors: m.Descriptors},
		Now:   n.Clock.Now,
	}
	n.bodies.Memory, n.bodies.Now = m.MemoryMB*(1<<20), n.Clock.Now
	n.heads.Memory, n.heads.OnChange = m.MemoryMB*(1<<20), n.logHeads
	n.heads.OnRefused = func() { gometrics.GetOrRegisterCounter("heads.refused", n.Metrics).Inc(1) }
	if unknown := n.Utilization.Unknown(); len(unknown) > 0 {
		names := make([]string, 0, len(unknown))
		for _, r := range unknown {
			names = append(names, r.String())
		}
		log.Info("sizes of the machine are unknown and are not watched", map[string]any{"resources": names})
	}
	n.utilizationLog = log
	if err := n.Metrics.Register("memory.live", gometrics.NewFunctionalGauge(liveMemory)); err != nil {
		log.Warn("metric could not be registered", map[string]any{"metric": "memory.live", "error": err.Error()})
	}
}

// logHeads logs that heads of requests have begun to be refused, or have room again.
func (n *Node) logHeads(isShort bool, held int64) {
	if !n.headLines.allow(isShort, n.uptime()) {
		return
	}
	message := "memory for heads of requests is free again"
	if isShort {
		message = "heads of requests are refused, since memory runs short"
	}
	n.utilizationLog.Info(message, map[string]any{"held": held, "refused": gometrics.GetOrRegisterCounter("heads.refused", n.Metrics).Count()})
}

// readUtilization reads the box's counters and returns the level that other boxes are told.
func (n *Node) readUtilization(former utilization.Level) utilization.Level {
	n.Utilization.Observe(n.readMachine())
	for _, r := range utilization.Resources() {
		if share, known := n.Utilization.Share(r); known {
			gometrics.GetOrRegisterGaugeFloat64("machine."+r.String(), n.Metrics).Update(share)
		}
	}
	largest, share, known := n.Utilization.Largest()
	if !known {
		return utilization.Free
	}
	level := utilization.LevelOf(share, former)
	if level != former {
		n.utilizationLog.Info("use of the machine changed", map[string]any{"level": level.String(), "resource": largest.String(), "share": share})
	}
	return level
}

// readMachine reads what the process has used.
func (n *Node) readMachine() utilization.Reading {
	r := utilization.Reading{
		Received: n.traffic.received.Load(), Sent: n.traffic.sent.Load(),
		Memory: memoryInUse(), Descriptors: n.traffic.descriptors(),
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		n.utilizationLog.Warn("processor time could not be read", map[string]any{"error": err.Error()})
		return r
	}
	r.Processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return r
}

// memoryInUse returns the memory that the runtime has mapped and not given back, in bytes.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// liveMemory returns the memory that the last garbage collection found in use, in bytes.
func liveMemory() int64 {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64())
}
