package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// bufferSize is the size of a copy's buffer in bytes. Most requests and answers fit into one.
const bufferSize = 8 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// join copies bytes between another box and a server until either connection ends.
func join(client *frameWriter, server net.Conn) {
	var copying conc.WaitGroup
	copying.Go(func() { end(client.Conn, server, withBuffer(server, client.Conn, pass)) })
	end(server, client.Conn, withBuffer(client, server, client.passFramed))
	copying.Wait()
}

func withBuffer(to, from net.Conn, copyAll func(to, from net.Conn, buffer []byte) error) error {
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	return copyAll(to, from, buffer[:])
}

// pass copies bytes from one connection to the other. It returns nil if the first one was closed
// orderly.
func pass(to, from net.Conn, buffer []byte) error {
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// end closes both connections after one has ended: orderly if that was, else with a reset.
func end(ended, other net.Conn, err error) {
	if err != nil {
		abort(other)
	} else {
		_ = other.Close()
	}
	_ = ended.Close()
}

// abort closes a connection with a reset, which discards what it has not sent yet.
func abort(c net.Conn) {
	_ = exchange.SetLinger(c, 0)
	_ = c.Close()
}
