// Package caller is the client library for callers of stoneworks. It looks up which boxes
// to use, caches the answer for its time to live, sends requests, and retries them so that
// no request that must run at most once runs twice.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Parameters of a client.
const (
	// DefaultAttempts is the default maximum number of attempts of a request.
	DefaultAttempts = 5
	// DefaultMaxAnswer is the default longest body of an answer in bytes.
	DefaultMaxAnswer = 64 << 20
	// maxLookup is the longest answer to a look-up in bytes.
	maxLookup      = 1 << 20
	lookupTimeout  = 2 * time.Second
	connectTimeout = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxIdle is the time after which an idle connection is not used again.
	maxIdle = 2 * time.Second
)

// Client sends requests on behalf of one caller.
type Client struct {
	// Boxes are the addresses of some boxes, used for look-ups before an answer is
	// cached and if the boxes in the cached answer fail.
	Boxes []string
	// Address is the client's own address. If it is empty, boxes use the address of
	// the connection.
	Address string
	// MaxAttempts is the maximum number of attempts of a request.
	MaxAttempts int
	// MaxAnswer is the longest body of an answer in bytes. A longer one is not returned, and its
	// request counts as one that may have run.
	MaxAnswer int64

	mu          sync.Mutex
	lookups     map[string]cachedLookup
	pools       map[string]*exchange.Pool
	lookupCount int
}

type cachedLookup struct {
	entries []entry.LookupEntry
	until   time.Time
}

// Request is a request of a caller.
type Request struct {
	Service string
	Method  string
	// Path starts with '/'.
	Path   string
	Header [][2]string
	Body   []byte
	// ID identifies the request in logs. If it is empty, Do generates one.
	ID string
	// AtMostOnce marks a request that must not run twice; it gets an idempotency key.
	AtMostOnce bool
	// MayRepeat marks a request that may run more than once.
	MayRepeat bool
}

// Result is the result of a request.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	Header  fasthttp.ResponseHeader
	Body    []byte
	// RetryAfter is the time to wait before a retry, or 0 if it is unknown.
	RetryAfter time.Duration
	// Attempts is the number of attempts, and Entry the address of the box that got
	// the last one.
	Attempts int
	Entry    string
	Key      string
}

// LookupError reports that no box answered a look-up.
type LookupError struct {
	Service string
	Last    error
}

// Error implements error.
func (e *LookupError) Error() string {
	return fmt.Sprintf("no box answered the look-up of %q: %v", e.Service, e.Last)
}

// New makes a client that uses the given boxes for its first look-ups.
func New(address string, boxes ...string) *Client {
	return &Client{
		Boxes: boxes, Address: address, MaxAttempts: DefaultAttempts, MaxAnswer: DefaultMaxAnswer,
		lookups: map[string]cachedLookup{}, pools: map[string]*exchange.Pool{},
	}
}

// Close closes the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
}

// ================================================================
// Look-ups
// ================================================================

// Lookup returns the boxes to use for the service, best first, from the cache or from a
// box. The error is a *LookupError.
func (c *Client) Lookup(ctx context.Context, service string) ([]entry.LookupEntry, error) {
	c.mu.Lock()
	cached, ok := c.lookups[service]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.entries, nil
	}
	var last error
	for _, address := range c.lookupTargets(cached.entries) {
		answer, err := c.requestLookup(ctx, address, service)
		if err == nil && len(answer.Entries) > 0 {
			c.mu.Lock()
			c.lookups[service] = cachedLookup{answer.Entries, time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)}
			c.mu.Unlock()
			return answer.Entries, nil
		}
		last = err
	}
	return nil, &LookupError{Service: service, Last: last}
}

// InvalidateLookup makes the cached answer for the service expire. Its boxes are still
// used for the next look-up.
func (c *Client) InvalidateLookup(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.lookups[service]
	cached.until = time.Time{}
	c.lookups[service] = cached
}

// lookupTargets returns the addresses to try for a look-up: those of the last answer, then
// those in Boxes, starting with a different one each time.
func (c *Client) lookupTargets(entries []entry.LookupEntry) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookupCount++
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.Address)
	}
	for i := range c.Boxes {
		addresses = append(addresses, c.Boxes[(i+c.lookupCount)%len(c.Boxes)])
	}
	return addresses
}

func (c *Client) requestLookup(ctx context.Context, address, service string) (*entry.Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	h := &fasthttp.RequestHeader{}
	h.SetRequestURI(entry.PathLookup + "?service=" + url.QueryEscape(service) + "&client=" + url.QueryEscape(c.Address))
	h.SetHost(address)
	got, err := c.pool(address).Do(ctx, &exchange.Request{Header: h, MaxIdle: time.Minute})
	if err != nil {
		return nil, err
	}
	text, err := got.ReadAll(maxLookup)
	if err != nil {
		return nil, err
	}
	if got.Header.StatusCode() != fasthttp.StatusOK {
		return nil, outcome.NewNotRun(outcome.Reason(got.Header.Peek(entry.HeaderReason)), string(text))
	}
	answer := &entry.Lookup{}
	return answer, json.Unmarshal(text, answer)
}

func (c *Client) pool(address string) *exchange.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		dialer := &net.Dialer{Timeout: connectTimeout}
		p = exchange.NewPool(address, 16, func(ctx context.Context, a string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", a)
		})
		c.pools[address] = p
	}
	return p
}

func randomID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
