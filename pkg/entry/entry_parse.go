package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// PathRequests is the path prefix of requests; the service's name and the path
// follow it.
const PathRequests = "/s/"

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 24 * time.Hour

// rawHeaders is the header of a request as received.
type rawHeaders struct {
	header *fasthttp.RequestHeader
}

// parse parses a request. On a failure it also returns the part that it parsed, so
// that the answer can carry the request's id.
func (e *Handler) parse(ctx *fasthttp.RequestCtx, fromPeer bool) (*Request, *outcome.Failure) {
	h := &ctx.Request.Header
	r := &Request{ID: string(h.Peek(HeaderRequestID)), Method: string(h.Method()), raw: rawHeaders{header: h}}
	if r.ID == "" {
		r.ID = newID()
	}
	if len(r.ID) > maxRequestIDBytes || !printable(r.ID) {
		r.ID = newID()
		return r, badRequest(HeaderRequestID + ": allowed are 1 to 128 printable characters")
	}
	if fromPeer {
		r.Hop = Hop(h.Peek(HeaderHop))
	}
	if failure := r.parseTarget(string(ctx.RequestURI())); failure != nil {
		return r, failure
	}
	if failure := r.parseClient(h, ctx.RemoteIP().String()); failure != nil {
		return r, failure
	}
	r.Key = string(h.Peek(HeaderKey))
	r.FirstAttempt = string(h.Peek(HeaderAttempt)) == AttemptFirst
	if !e.Ready() {
		return r, outcome.NewNotRun(outcome.ReasonNotReady, "").WithRetryAfter(time.Second)
	}
	if e.Closed() {
		return r, outcome.NewNotRun(outcome.ReasonBoxLeaving, e.Self).WithRetryAfter(time.Millisecond)
	}
	r.snapshot = e.Snapshot()
	r.view = r.snapshot.Services[r.Service]
	if r.view == nil {
		return r, outcome.NewNotRun(outcome.ReasonNoSuchService, fmt.Sprintf("%q", r.Service))
	}
	r.repeatable = r.view.Spec.MayRepeat(r.Method, r.Path)
	if name := r.view.Spec.CacheKeyHeader; name != "" {
		if v := h.Peek(name); len(v) > 0 {
			r.cacheKey = decide.Hash(string(v)) | 1
		}
	}
	return r, r.parseDeadline(h, e.Now())
}

func (r *Request) parseTarget(uri string) *outcome.Failure {
	rest, ok := strings.CutPrefix(uri, PathRequests)
	if !ok {
		return badRequest("no such path; requests go to " + PathRequests + "SERVICE/PATH")
	}
	service, path, _ := strings.Cut(rest, "/")
	if cut := strings.IndexByte(service, '?'); cut >= 0 {
		service, path = service[:cut], service[cut:]
	}
	r.Service, r.Path = service, "/"+path
	if r.Service == "" {
		return badRequest("the path names no service")
	}
	return nil
}

func (r *Request) parseClient(h *fasthttp.RequestHeader, remote string) *outcome.Failure {
	text := string(h.Peek(HeaderClient))
	if text == "" {
		text = remote
	}
	client, err := netip.ParseAddr(text)
	if err != nil {
		return badRequest(HeaderClient + ": allowed is an IP number")
	}
	r.Client = client.Unmap()
	return nil
}

func (r *Request) parseDeadline(h *fasthttp.RequestHeader, now time.Time) *outcome.Failure {
	text := string(h.Peek(HeaderDeadline))
	if text == "" {
		r.Deadline = now.Add(r.view.Spec.DefaultDeadline())
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return badRequest(HeaderDeadline + ": allowed are 1 to 86400000 milliseconds")
	}
	r.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// outgoing returns the header for the next hop: without hop-by-hop headers and
// headers of this system, and with the id and the remaining deadline set.
func (r *Request) outgoing(now time.Time, path string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	r.raw.header.CopyTo(h)
	for _, name := range hopByHop {
		h.Del(name)
	}
	for _, name := range []string{HeaderHop, HeaderClient, HeaderAttempt, HeaderOutcome} {
		h.Del(name)
	}
	h.SetRequestURI(path)
	h.SetNoDefaultContentType(true)
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderDeadline, strconv.FormatInt(max(r.Deadline.Sub(now).Milliseconds(), 1), 10))
	return h
}

func badRequest(detail string) *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonBadRequest, detail)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// withDeadline returns a context that ends at the request's deadline or with hangup,
// whichever comes first. A request that may not be repeated does not end with its
// caller's connection, so that the caller's retry finds the answer.
func (r *Request) withDeadline(hangup context.Context) (context.Context, context.CancelFunc) {
	if !r.repeatable {
		hangup = context.WithoutCancel(hangup)
	}
	return context.WithDeadline(hangup, r.Deadline)
}
