package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/httpjson"
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
	address string
	timeout time.Duration
	pool    *exchange.Pool
	count   func(verb string)
}

const (
	// maxAnswer is the longest body of an answer of the platform in bytes.
	maxAnswer = 16 << 20
	// maxIdle is how long an idle connection may be reused, and maxIdleConnections how many are kept.
	maxIdle            = 5 * time.Second
	maxIdleConnections = 16
)

// NewHTTP makes a client of the platform at the address. dial opens connections, and count
// is called for each call.
func NewHTTP(address string, timeout time.Duration, dial func(ctx context.Context, address string) (net.Conn, error), count func(verb string)) *Client {
	h := &httpClient{
		address: address, timeout: timeout, pool: exchange.NewPool(address, maxIdleConnections, dial), count: count,
	}
	return &Client{Get: h.get, List: h.list, Put: h.put, Watch: h.watch, Boxes: h.boxes}
}

func (h *httpClient) get(ctx context.Context, kind, name string) (Object, error) {
	h.count("get")
	var o Object
	status, err := h.read(ctx, h.timeout, "/objects/"+kind+"/"+url.PathEscape(name), &o)
	if status == fasthttp.StatusNotFound {
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	}
	return o, err
}

func (h *httpClient) list(ctx context.Context, kind string) (Page, error) {
	h.count("list")
	var p Page
	_, err := h.read(ctx, h.timeout, "/objects/"+kind, &p)
	return p, err
}

func (h *httpClient) watch(ctx context.Context, kind string, since uint64) (Page, error) {
	h.count("watch")
	var p Page
	_, err := h.read(ctx, WatchTimeout+h.timeout, fmt.Sprintf("/objects/%s?since=%d", kind, since), &p)
	return p, err
}

func (h *httpClient) boxes(ctx context.Context) ([]Box, error) {
	h.count("boxes")
	var list []Box
	_, err := h.read(ctx, h.timeout, "/boxes", &list)
	return list, err
}

func (h *httpClient) read(ctx context.Context, timeout time.Duration, path string, into any) (status int, err error) {
	status, text, err := h.do(ctx, timeout, h.request(fasthttp.MethodGet, path), nil)
	if err != nil {
		return 0, &UnavailableError{Detail: err.Error()}
	}
	switch {
	case status == fasthttp.StatusNotFound:
		return status, &NotFoundError{Kind: path}
	case status != fasthttp.StatusOK:
		return status, &UnavailableError{Detail: "status " + strconv.Itoa(status)}
	}
	if err := httpjson.Decode(bytes.NewReader(text), maxAnswer, into); err != nil {
		return fasthttp.StatusOK, &MalformedError{Detail: err.Error()}
	}
	return fasthttp.StatusOK, nil
}

func (h *httpClient) put(ctx context.Context, o Object) (uint64, error) {
	h.count("put")
	header := h.request(fasthttp.MethodPut, "/objects/"+o.Kind+"/"+url.PathEscape(o.Name))
	header.Set("If-Match", strconv.FormatUint(o.Version, 10))
	status, text, err := h.do(ctx, h.timeout, header, o.Value)
	if err != nil {
		// The write may have taken effect.
		return 0, &UnknownWriteError{Detail: err.Error()}
	}
	var answer Object
	if err := json.Unmarshal(text, &answer); err != nil {
		return 0, &UnknownWriteError{Detail: "status " + strconv.Itoa(status)}
	}
	switch status {
	case fasthttp.StatusOK:
		return answer.Version, nil
	case fasthttp.StatusPreconditionFailed:
		return 0, &ConflictError{Current: answer.Version}
	}
	return 0, &UnknownWriteError{Detail: "status " + strconv.Itoa(status)}
}

func (h *httpClient) request(method, path string) *fasthttp.RequestHeader {
	header := &fasthttp.RequestHeader{}
	header.SetMethod(method)
	header.SetRequestURI(path)
	header.SetHost(h.address)
	header.SetNoDefaultContentType(true)
	return header
}

// do makes one call within timeout and the context's deadline. The error is an *exchange.Error.
func (h *httpClient) do(ctx context.Context, timeout time.Duration, header *fasthttp.RequestHeader, body []byte) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := h.pool.Do(ctx, &exchange.Request{
		Header: header, Body: body, MaxIdle: maxIdle, NonIdempotent: header.IsPut(),
	})
	if err != nil {
		return 0, nil, err
	}
	status = answer.Header.StatusCode()
	text, err = answer.ReadAll(maxAnswer)
	return status, text, err
}
