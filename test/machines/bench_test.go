package machines

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRequest tells the processor time of a request, client and server
// included, without anything between them, through a plain relay of the
// standard library, and through a box: the differences are what each costs.
func BenchmarkRequest(b *testing.B) {
	f, err := NewFleet(fmt.Sprintf("127.91.%d", network.Add(1)), io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	f.Configure(1, read)
	server, err := f.AddServer("east-a.1", "shop", "east-a", 64, 100*time.Microsecond)
	if err != nil {
		b.Fatal(err)
	}
	box, err := f.AddBox("east-a")
	if err != nil {
		b.Fatal(err)
	}
	for !box.Node.Ready() {
		time.Sleep(time.Millisecond)
	}
	target, err := url.Parse("http://" + server.Address)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp4", f.network+".150:0")
	if err != nil {
		b.Fatal(err)
	}
	relay := &http.Server{Handler: httputil.NewSingleHostReverseProxy(target), ReadHeaderTimeout: time.Second}
	go func() { _ = relay.Serve(listener) }()
	defer func() { _ = relay.Close() }()
	for _, c := range []struct{ name, address string }{
		{"direct", server.Address}, {"relay", listener.Addr().String()}, {"box", box.Clients},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &Client{Address: c.address}
			defer client.Close()
			before := processorTime()
			for i := range b.N {
				if a := client.Do("GET", "/read/1", "id", "", "X-Stoneworks-Affinity-Key: 1\r\n"); a.Status != 200 {
					b.Fatal(i, a.Status, a.Problem)
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
