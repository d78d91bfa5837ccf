package machines

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/clock"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/node"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/pkg/topology"
	"github.com/stoneworks/stoneworks/platform"
)

// Fleet is a set of boxes with a store and backend servers.
type Fleet struct {
	// Policy holds the policy parameters of boxes that are added later; nil means the defaults.
	Policy *policy.Policy
	// Customers are the customers of the next configuration, and MaxHeader and MaxBody its longest
	// header and body of a request in bytes.
	Customers []Customer
	MaxHeader int
	MaxBody   int
	// ChangeSettings modifies the settings of boxes that are added later; nil leaves them as they are.
	ChangeSettings func(s *settings.Settings)
	Store          *Store
	Boxes          []*Box
	Servers        map[string]*Server
	zones          []topology.Zone
	network        string
	log            io.Writer
}

// Customer is a customer of a fleet's configuration.
type Customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api-keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate-per-s"`
	Burst    float64  `json:"burst"`
	Regions  []string `json:"allowed-regions"`
}

// Box is one box of a fleet.
type Box struct {
	*node.Node
	IP string
	// Clients, Ready and Directory are the box's listen addresses.
	Clients   string
	Ready     string
	Directory string
	machine   *machine
	endLog    context.CancelFunc
}

// serversHost is the last octet of the servers' address.
const serversHost = ".100"

// Zones are the zones of every fleet.
var Zones = []topology.Zone{
	{Zone: "east-a", Region: "east"}, {Zone: "east-b", Region: "east"}, {Zone: "west-a", Region: "west"},
}

// NewFleet starts a store in the network, such as "127.90.1"; each test uses a network of its
// own. The boxes write their log lines to log.
func NewFleet(network string, log io.Writer) (*Fleet, error) {
	store, err := NewStore(network + ".200")
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Servers: map[string]*Server{}, zones: Zones, network: network, log: log, MaxHeader: 8192, MaxBody: 1 << 20}, nil
}

// Close stops all boxes, servers and the store.
func (f *Fleet) Close() {
	for _, b := range f.Boxes {
		b.Stop()
		b.endLog()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	f.Store.Close()
}

// AddServer starts a backend server and lists it in the store.
func (f *Fleet) AddServer(id, service, zone string, slots int, work time.Duration) (*Server, error) {
	return f.AddServerWithPerformance(Performance{}, id, service, zone, slots, work)
}

// AddServerWithPerformance is AddServer for a server with the given performance.
func (f *Fleet) AddServerWithPerformance(nature Performance, id, service, zone string, slots int, work time.Duration) (*Server, error) {
	s, err := NewServer(f.network+serversHost, id, slots, work)
	if err != nil {
		return nil, err
	}
	s.Performance = nature
	f.Servers[id] = s
	f.PutServer(s, service, zone, "ready", 0)
	return s, nil
}

// PutServer writes a server's entry to the store.
func (f *Fleet) PutServer(s *Server, service, zone, state string, cold time.Duration) {
	address := s.Address
	if s.Advertised != "" {
		address = s.Advertised
	}
	version := s.Version
	if version == "" {
		version = "v1"
	}
	f.Store.Put("servers", s.ID, map[string]any{
		"service": service, "address": address, "zone": zone, "slots": s.Slots, "state": state,
		"cold-remaining-ms": cold.Milliseconds(), "version": version, "call-seq": 1, "born": s.StartedAtMs,
	})
}

// Route is a route of a fleet's configuration.
type Route struct {
	Prefix, Kind, Service string
	TimeoutMS             int
	Regions               []string
	Anonymous             bool
	// Split are services that share the route's requests equally, in place of Service.
	Split []string
}

// Configure writes a configuration of the host shop.example to the store.
func (f *Fleet) Configure(version int, routes ...Route) {
	paths := []map[string]any{}
	services := map[string]bool{}
	for _, r := range routes {
		split := []map[string]any{}
		for _, s := range r.Split {
			services[s] = true
			split = append(split, map[string]any{"service": s, "weight": 1})
		}
		if len(split) == 0 {
			services[r.Service] = true
		}
		paths = append(paths, map[string]any{
			"backends": split,
			"name":     r.Prefix, "path-prefix": r.Prefix, "kind": r.Kind, "service": r.Service, "timeout-ms": r.TimeoutMS,
			"target-latency-ms": 500, "max-attempts": 2, "session-affinity": true, "allowed-regions": r.Regions, "allow-anonymous": r.Anonymous,
		})
	}
	list := []map[string]any{}
	for s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-conns": 100, "cold-start-s": 1, "cold-per-s": 5})
	}
	f.Store.Put("config", "main", map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits":  map[string]any{"max-header-bytes": f.MaxHeader, "max-body-bytes": f.MaxBody, "header-timeout-ms": 1000, "idle-timeout-ms": 5000},
		"hosts":   []map[string]any{{"host": "shop.example", "paths": paths}},
		"tenants": f.Customers,
	})
}

// AddBox starts a box in a zone.
func (f *Fleet) AddBox(zone string) (*Box, error) {
	n := len(f.Boxes) + 1
	ip := fmt.Sprintf("%s.%d", f.network, n)
	s := settings.Defaults()
	s.Box = fmt.Sprintf("box-%d", n)
	s.Zone = zone
	s.Listen = settings.Addresses{
		Callers: ip + ":8101", Peers: ip + ":8102", Admin: ip + ":8103", Ready: ip + ":8104", Directory: ip + ":8105",
	}
	s.Advertise = s.Listen
	s.Platform.Address = f.Store.Address
	s.Platform.Protocol = settings.ProtocolObjects
	s.Seeds = []string{f.network + ".1:8102"}
	s.Zones = f.zones
	s.Bounds.Contact = 1500 * time.Millisecond
	s.Bounds.Grace = 2 * time.Second
	s.Bounds.ColdOverage, s.Bounds.ColdSlack = 1.5, 5
	if f.Policy != nil {
		s.Policy = *f.Policy
	}
	if f.ChangeSettings != nil {
		f.ChangeSettings(&s)
	}
	handler := logging.NewAsyncJSONHandler(f.log)
	logContext, endLog := context.WithCancel(context.Background())
	go handler.Run(logContext)
	m := newMachine()
	node := node.New(&s, platform.Adapter(), handler, clock.NewWithBoottime(m.boottime))
	m.links.Connect = node.Connect
	m.links.IsServer = func(address string) bool { return strings.HasPrefix(address, f.network+serversHost+":") }
	node.Connect = m.links.Dial
	if err := node.Start(); err != nil {
		endLog()
		node.Stop()
		return nil, err
	}
	b := &Box{Node: node, IP: ip, machine: m, endLog: endLog, Clients: s.Listen.Callers, Ready: s.Listen.Ready, Directory: s.Listen.Directory}
	f.Boxes = append(f.Boxes, b)
	return b, nil
}

// Answer is the result of a client's request.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Problem is the error that ended the exchange, or nil if the answer is complete. If the
	// answer has begun, Status and Header are set.
	Problem error
	// RequestSent is true if the whole request was handed to the network.
	RequestSent bool
	// CloseAnnounced is true if the box announced that it will close the connection.
	CloseAnnounced bool
	Took           time.Duration
}

// Client sends requests over one connection, and opens a new one after it was closed.
type Client struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and reads its answer. Extra holds further header lines, each with its CRLF.
func (c *Client) Do(method, target, id, body, extra string) *Answer {
	start := time.Now()
	if err := c.Send(method, target, id, body, extra); err != nil {
		return &Answer{Problem: err, Took: time.Since(start)}
	}
	a := c.Read()
	a.Took = time.Since(start)
	return a
}

// Open opens the connection if there is none.
func (c *Client) Open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.Address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// Send sends a request without waiting for its answer.
func (c *Client) Send(method, target, id, body, extra string) error {
	if !strings.Contains(extra, "Transfer-Encoding") && (body != "" || method == "POST") {
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body)) + extra
	}
	return c.write(requestHeader(method, target, id, extra) + body)
}

// Begin sends the header of a request and returns the connection, for its body.
func (c *Client) Begin(method, target, id, extra string) (net.Conn, error) {
	err := c.write(requestHeader(method, target, id, extra))
	return c.conn, err
}

func (c *Client) write(text string) error {
	if err := c.Open(); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// requestHeader returns a request's header. Extra holds further lines, each with its CRLF.
func requestHeader(method, target, id, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Stoneworks-Request-Id: %s\r\n%s\r\n", method, target, id, extra)
}

// Read reads one answer, and closes the connection after an error.
func (c *Client) Read() *Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Close()
		return &Answer{Problem: err, RequestSent: true}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.Close()
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: string(text), Problem: err, RequestSent: true, CloseAnnounced: response.Close}
}
