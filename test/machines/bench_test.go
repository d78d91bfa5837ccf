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

// BenchmarkRequest reports the processor time of a request, client and server included: sent
// directly, through a plain reverse proxy of the standard library, and through a box. The
// differences are the costs of the proxy and of the box.
func BenchmarkRequest(b *testing.B) {
	f, err := NewFleet(networkOf(b), io.Discard)
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

// BenchmarkRequestOfACustomer reports the processor time of a request through one of two boxes of
// a zone, client and server included: without customers, with 79 customers that have a key each,
// and with 79 that also have a limit each.
func BenchmarkRequestOfACustomer(b *testing.B) {
	for _, c := range []struct {
		name string
		keys bool
		rate float64
	}{{"none", false, 0}, {"key", true, 0}, {"limit", true, 2000}} {
		f, err := NewFleet(networkOf(b), io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		var headers []string
		for i := range 79 {
			key := fmt.Sprint("key-", i)
			headers = append(headers, bearer(key)+"X-Stoneworks-Affinity-Key: 1\r\n")
			if c.keys {
				f.Customers = append(f.Customers, Customer{Name: fmt.Sprint("customer-", i), Keys: []string{key}, Rate: c.rate, Burst: c.rate})
			}
		}
		f.Configure(1, read)
		if _, err := f.AddServer("east-a.1", "shop", "east-a", 64, 100*time.Microsecond); err != nil {
			b.Fatal(err)
		}
		for range 2 {
			if _, err := f.AddBox("east-a"); err != nil {
				b.Fatal(err)
			}
		}
		for !f.Boxes[0].Node.Ready() || !f.Boxes[1].Node.Ready() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		b.Run(c.name, func(b *testing.B) {
			client := &Client{Address: f.Boxes[0].Clients}
			defer client.Close()
			before := processorTime()
			for i := range b.N {
				if a := client.Do("GET", "/read/1", "id", "", headers[i%len(headers)]); a.Status != 200 {
					b.Fatal(i, a.Status, a.Problem)
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
		f.Close()
	}
}
