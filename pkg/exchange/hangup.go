package exchange

import (
	"errors"
	"net"
	"syscall"

	"github.com/sourcegraph/conc"
)

// StillUsable reports whether an idle connection is open and has nothing to read. An
// unexpected byte makes a connection unusable, as its end does.
func StillUsable(c net.Conn) bool {
	raw, err := RawConn(c)
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// WatchHangup calls hungUp once if the peer closes the connection before the returned function
// is called. It does not consume any byte, and stops watching if the peer sends more. No read
// may be in progress meanwhile.
func WatchHangup(c net.Conn, hungUp func()) (stop func()) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if watchEnd(raw) {
			hungUp()
		}
	})
	return func() {
		_ = c.SetReadDeadline(pastDeadline)
		wg.Wait()
		_ = c.SetReadDeadline(noDeadline)
	}
}

// watchEnd waits for the connection to become readable and reports whether it has ended.
func watchEnd(raw syscall.RawConn) bool {
	ended := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errno == syscall.EAGAIN {
			return false
		}
		ended = errno != nil || n == 0
		return true
	})
	return err == nil && ended
}
