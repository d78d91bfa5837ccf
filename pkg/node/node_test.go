package node

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

func TestMetricsPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	var b strings.Builder
	WriteMetricTable(&b)
	is.Equal(string(page), b.String())
}

func TestMetricsCarryTheirUnits(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("answered", registry).Inc(3)
	metrics.GetOrRegisterTimer("request.shop", registry).Update(20 * time.Millisecond)
	metrics.GetOrRegisterGauge("memory.live", registry).Update(7)
	metrics.GetOrRegisterGauge("mirror.changes.servers", registry).Update(8)
	metrics.GetOrRegisterGauge("mirror.kept.servers", registry).Update(9)
	metrics.GetOrRegisterGauge("store.answered_ago.servers", registry).Update(10)
	var b strings.Builder
	writeMetrics(&b, registry)
	is.Equal(b.String(), "stoneworks_answered_total 3\n"+
		"stoneworks_memory_live_bytes 7\n"+
		"stoneworks_mirror_changes_servers_changes 8\n"+
		"stoneworks_mirror_kept_servers_bytes 9\n"+
		"stoneworks_request_shop_milliseconds{quantile=\"0.5\"} 20.000\n"+
		"stoneworks_request_shop_milliseconds{quantile=\"0.9\"} 20.000\n"+
		"stoneworks_request_shop_milliseconds{quantile=\"0.99\"} 20.000\n"+
		"stoneworks_request_shop_total 1\n"+
		"stoneworks_store_answered_ago_servers_milliseconds 10\n")
}

func TestCapacityIsThatOfTheScarcerPart(t *testing.T) {
	is := is.New(t)
	is.Equal(capacityOf(settings.Machine{Cores: 0.8, LinkMbps: 200}), 1600.0)
	is.Equal(capacityOf(settings.Machine{Cores: 0.16, LinkMbps: 10}), 125.0)
	is.Equal(capacityOf(settings.Machine{Cores: 0.5}), 1000.0)
	is.Equal(capacityOf(settings.Machine{}), 0.0)
}

// TestBoxWithoutConfigurationNamesNoOtherRegion guards against a directory that names boxes of any
// region while its box has just started and does not know the routes of a host.
func TestBoxWithoutConfigurationNamesNoOtherRegion(t *testing.T) {
	is.New(t).True(!(&Node{}).hostAllowed("shop.example", "east"))
}

// TestConnectionsNoticeASilentOtherEnd checks the socket options by which the kernel detects a
// silent peer, also while nothing is sent.
func TestConnectionsNoticeASilentOtherEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	n := &Node{Settings: &settings.Settings{Advertise: settings.Addresses{Peers: "127.0.0.1:1"}}}
	n.Connect = n.connect
	c, err := n.dialPeer(t.Context(), l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for _, o := range []struct{ level, name, want int }{
			{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, int(probeIdle.Seconds())},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, probeCount},
			{syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds())},
		} {
			got, err := syscall.GetsockoptInt(int(fd), o.level, o.name)
			is.NoErr(err)
			is.Equal(got, o.want)
		}
	}))
}

// TestVanishedServersAreLeftInTime guards against requests to a server that left while the store
// refused all boxes: it must receive nothing after it has drained. Learning of the departure may
// take a second, because changes are batched and passed from box to box. When vanished servers
// were kept for 1.75 s and checked every half second, requests reached a server 2.66 s after it
// had left, where 2.5 s are allowed.
func TestVanishedServersAreLeftInTime(t *testing.T) {
	is := is.New(t)
	is.Equal(forgetAfter(2500*time.Millisecond), 1500*time.Millisecond)
	is.Equal(forgetAfter(2800*time.Millisecond), 1800*time.Millisecond)
	is.Equal(forgetAfter(4*time.Second), 2*time.Second) // a running server is listed again by then
	is.Equal(forgetAfter(600*time.Millisecond), time.Duration(0))
}
