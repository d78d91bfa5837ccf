package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// uploadTo sends a body of 4 MiB to a server that serves its connection like this, and reads the answer.
func uploadTo(t *testing.T, serve func(c *net.TCPConn), length int) (body []byte, err error) {
	t.Helper()
	return uploadOver(t, &net.Dialer{}, serve, length)
}

// uploadOver does the same over a connection of the dialer's.
func uploadOver(t *testing.T, dialer *net.Dialer, serve func(c *net.TCPConn), length int) (body []byte, err error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	p := NewPool(l.Addr().String(), 1, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := newRequest("")
	r.Body, r.Stream, r.Length = nil, bytes.NewReader(make([]byte, 4<<20)), length
	a, err := p.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	return io.ReadAll(a.Body)
}

// TestResetDuringAnUploadIsNoEnd checks that an answer without a length is incomplete if its connection
// is reset while the request's body is sent. The kernel reports the reset to the sender or to the reader
// of the answer, so many runs are needed.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	for _, length := range []int{4 << 20, -1} {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprintf("length %d, pause %v", length, pause), func(t *testing.T) {
				complete := 0
				for range 150 {
					body, err := uploadTo(t, func(c *net.TCPConn) {
						_, _ = c.Read(make([]byte, 1024))
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
						time.Sleep(pause)
						_ = c.SetLinger(0)
						_ = c.Close()
					}, length)
					if err == nil {
						complete++
						t.Logf("complete: %q", body)
					}
				}
				is.New(t).Equal(complete, 0)
			})
		}
	}
}

// TestTimeoutDuringAnUploadIsNoEnd checks the same if the kernel gives the connection up, since the server
// has stopped reading.
func TestTimeoutDuringAnUploadIsNoEnd(t *testing.T) {
	const userTimeout = 200 * time.Millisecond
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}}
	var complete, timedOut atomic.Int32
	var uploads conc.WaitGroup
	for range 40 {
		uploads.Go(func() {
			_, err := uploadOver(t, dialer, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				<-t.Context().Done()
				_ = c.Close()
			}, -1)
			switch {
			case err == nil:
				complete.Add(1)
			case errors.Is(err, syscall.ETIMEDOUT):
				timedOut.Add(1)
			}
		})
	}
	uploads.Wait()
	t.Logf("%d complete, %d timed out", complete.Load(), timedOut.Load())
	is := is.New(t)
	is.Equal(complete.Load(), int32(0))
	is.True(timedOut.Load() > 0)
}

// TestEndDuringAnUploadIsAnEnd checks that an answer without a length is complete if its server closes
// its sending side in order, also while the request's body cannot be sent on, and if the connection is
// reset after that.
func TestEndDuringAnUploadIsAnEnd(t *testing.T) {
	for name, after := range map[string]func(c *net.TCPConn){
		"reads on":       func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c); _ = c.Close() },
		"reads no more":  func(c *net.TCPConn) { time.Sleep(300 * time.Millisecond); _ = c.Close() },
		"resets at once": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			body, err := uploadTo(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				after(c)
			}, -1)
			is.NoErr(err)
			is.Equal(string(body), "whole")
			is.True(time.Since(start) < time.Second)
		})
	}
}

// TestResetConnReportsTheReset checks that a read reports a reset that a write was told of before.
func TestResetConnReportsTheReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	inner, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	c := NewResetConn(inner)
	defer func() { _ = c.Close() }()
	peer, err := l.Accept()
	is.NoErr(err)
	is.NoErr(peer.(*net.TCPConn).SetLinger(0))
	is.NoErr(peer.Close())
	time.Sleep(10 * time.Millisecond)
	_, err = c.Write([]byte("x"))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
