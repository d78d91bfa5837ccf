// Package rawserver has servers that answer with any bytes, for tests of how answers are read.
package rawserver

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// Start starts a server and returns its address. On each connection it reads the start of a request, calls
// answer, and closes the connection.
func Start(t testing.TB, answer func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					answer(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Text answers with a text.
func Text(text string) func(c net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// Endless answers with a text, and goes on with another one until the connection ends.
func Endless(text, more string) func(c net.Conn) {
	part := strings.Repeat(more, 1+(256<<10)/len(more))
	return func(c net.Conn) {
		for _, err := io.WriteString(c, text); err == nil; {
			_, err = io.WriteString(c, part)
		}
	}
}

// Cuts returns answers that end in front of each byte of a text, with a close or a reset, by what they are.
func Cuts(text string) map[string]func(c net.Conn) {
	cuts := map[string]func(c net.Conn){}
	for n := range len(text) {
		cuts[fmt.Sprintf("closed after %d bytes", n)] = Text(text[:n])
		cuts[fmt.Sprintf("reset after %d bytes", n)] = func(c net.Conn) {
			_, _ = io.WriteString(c, text[:n])
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
	return cuts
}

// Allocated returns how many bytes the process allocates while work runs.
func Allocated(work func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
