package graceful

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a TCP listener that can be closed without resetting connections that clients have
// opened and the owner has not accepted yet. Requests may have been sent on them.
type Listener struct {
	*net.TCPListener

	// closing is closed when CloseInOrder begins, drained once queued is complete, and ended once
	// Accept has reported the end.
	closing, drained, ended chan struct{}
	mu                      sync.Mutex
	queued                  []net.Conn
	hasEnded                bool
}

// handOverTime bounds how long CloseInOrder waits for the owner to accept what was in the queue.
const handOverTime = 100 * time.Millisecond

// Listen opens a listener.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Listener{
		TCPListener: l.(*net.TCPListener), closing: make(chan struct{}), drained: make(chan struct{}), ended: make(chan struct{}),
	}, nil
}

// Accept implements net.Listener. Once the listener is closed, it returns the connections that were
// opened before, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.closing:
		<-l.drained
		return l.next()
	default:
		return nil, err
	}
}

// next returns the next connection that was opened before the listener was closed.
func (l *Listener) next() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		if !l.hasEnded {
			l.hasEnded = true
			close(l.ended)
		}
		return nil, net.ErrClosed
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c, nil
}

// CloseInOrder closes the listener after the connections in its queue were taken from it, for Accept.
// They are not served before the listener is closed, so that their clients open no others meanwhile.
// It returns once Accept has returned all of them and the end. It may be called once.
func (l *Listener) CloseInOrder() error {
	close(l.closing)
	err := l.SetDeadline(pastDeadline)
	if err == nil {
		err = l.takeQueue()
	}
	err = errors.Join(err, l.Close())
	close(l.drained)
	timer := time.NewTimer(handOverTime)
	defer timer.Stop()
	select {
	case <-l.ended:
	case <-timer.C:
		err = errors.Join(err, &HandOverError{Address: l.Addr().String()})
	}
	return err
}

// HandOverError is the error of a listener whose owner has not accepted all connections in time.
type HandOverError struct{ Address string }

// Error implements error.
func (e *HandOverError) Error() string {
	return fmt.Sprintf("listener %s: connections in its queue were not accepted within %v", e.Address, handOverTime)
}

// takeQueue accepts the connections in the queue until there are none, and ends the socket at once.
func (l *Listener) takeQueue() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	failure := refuseNew(raw)
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				// Close follows if the kernel does not support this on a listener.
				_ = unix.Shutdown(int(fd), unix.SHUT_RD)
				return
			}
			failure = errors.Join(failure, l.keep(accepted))
		}
	})
	return errors.Join(failure, err)
}

// keep adds an accepted connection to those that Accept returns.
func (l *Listener) keep(fd int) error {
	file := os.NewFile(uintptr(fd), "connection")
	c, err := net.FileConn(file) // duplicates the descriptor
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if c != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queued = append(l.queued, c)
	}
	return err
}

// refuseNew makes the kernel drop packets that open connections to a listener, so that none
// is opened between the last one that is accepted and the listener's end. Their senders
// repeat them and are refused then. Not all kernels support it.
func refuseNew(raw syscall.RawConn) error {
	const flags, syn = 13, 0x02 // of a TCP header
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: syn},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		filter := &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, filter)
	})
	if err != nil {
		return err
	}
	if errors.Is(optionErr, unix.EOPNOTSUPP) || errors.Is(optionErr, unix.ENOPROTOOPT) {
		return nil
	}
	return os.NewSyscallError("setsockopt", optionErr)
}
