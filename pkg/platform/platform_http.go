package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// WatchTimeout is the time for which the platform may hold a watch without changes.
const WatchTimeout = 20 * time.Second

// httpClient implements the platform's HTTP protocol:
//
//	GET /objects/KIND                     list
//	GET /objects/KIND?since=V             watch
//	GET /objects/KIND/NAME                get
//	PUT /objects/KIND/NAME  If-Match: V   conditional update
//	GET /boxes                            the list of boxes
type httpClient struct {
	base    string
	timeout time.Duration
	// calls and watches are separate clients, since watches need a longer timeout.
	calls   *fasthttp.Client
	watches *fasthttp.Client
	count   func(verb string)
}

// NewHTTP makes a client of the platform at the address. dial opens connections, and count
// is called for each call.
func NewHTTP(address string, timeout time.Duration, dial func(addr string) (net.Conn, error), count func(verb string)) *Client {
	h := &httpClient{
		base:    "http://" + address,
		timeout: timeout,
		calls:   newFasthttpClient(dial, timeout),
		watches: newFasthttpClient(dial, WatchTimeout+timeout),
		count:   count,
	}
	return &Client{Get: h.get, List: h.list, Put: h.put, Watch: h.watch, Boxes: h.boxes}
}

func newFasthttpClient(dial func(addr string) (net.Conn, error), timeout time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                     dial,
		ReadTimeout:              timeout,
		WriteTimeout:             timeout,
		MaxIdleConnDuration:      5 * time.Second,
		NoDefaultUserAgentHeader: true,
		// Disable the library's retries; the callers of this package decide on them.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func (h *httpClient) get(ctx context.Context, kind, name string) (Object, error) {
	h.count("get")
	var o Object
	status, err := h.read(ctx, h.calls, h.timeout, "/objects/"+kind+"/"+url.PathEscape(name), &o)
	if status == fasthttp.StatusNotFound {
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	}
	return o, err
}

func (h *httpClient) list(ctx context.Context, kind string) (Page, error) {
	h.count("list")
	var p Page
	_, err := h.read(ctx, h.calls, h.timeout, "/objects/"+kind, &p)
	return p, err
}

func (h *httpClient) watch(ctx context.Context, kind string, since uint64) (Page, error) {
	h.count("watch")
	var p Page
	_, err := h.read(ctx, h.watches, WatchTimeout+h.timeout, fmt.Sprintf("/objects/%s?since=%d", kind, since), &p)
	return p, err
}

func (h *httpClient) boxes(ctx context.Context) ([]Box, error) {
	h.count("boxes")
	var list []Box
	_, err := h.read(ctx, h.calls, h.timeout, "/boxes", &list)
	return list, err
}

func (h *httpClient) read(ctx context.Context, c *fasthttp.Client, timeout time.Duration, path string, into any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(h.base + path)
	if err := doWithin(ctx, c, req, resp, timeout); err != nil {
		return 0, &UnavailableError{Detail: err.Error()}
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotFound:
		return status, &NotFoundError{Kind: path}
	case status != fasthttp.StatusOK:
		return status, &UnavailableError{Detail: "status " + strconv.Itoa(status)}
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fasthttp.StatusOK, &MalformedError{Detail: err.Error()}
	}
	return fasthttp.StatusOK, nil
}

func (h *httpClient) put(ctx context.Context, o Object) (uint64, error) {
	h.count("put")
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(h.base + "/objects/" + o.Kind + "/" + url.PathEscape(o.Name))
	req.Header.SetMethod(fasthttp.MethodPut)
	req.Header.Set("If-Match", strconv.FormatUint(o.Version, 10))
	req.SetBody(o.Value)
	if err := doWithin(ctx, h.calls, req, resp, h.timeout); err != nil {
		// After any error later than the dial, the write may have taken effect, and
		// the library does not report at which point the call failed.
		return 0, &UnknownWriteError{Detail: err.Error()}
	}
	var answer Object
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0, &UnknownWriteError{Detail: "status " + strconv.Itoa(resp.StatusCode())}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return answer.Version, nil
	case fasthttp.StatusPreconditionFailed:
		return 0, &ConflictError{Current: answer.Version}
	}
	return 0, &UnknownWriteError{Detail: "status " + strconv.Itoa(resp.StatusCode())}
}

// doWithin does a call within timeout and the context's deadline.
func doWithin(ctx context.Context, c *fasthttp.Client, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	return c.DoTimeout(req, resp, timeout)
}
