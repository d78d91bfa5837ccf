package box

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/peer"
)

// compressAbove is the size in bytes above which messages between boxes are
// compressed. Heartbeats compress well, since their records are much alike.
const compressAbove = 512

// PeerError is an answer of another box with a status other than 200.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("box at %s: status %d", e.Address, e.Status) }

// newPeerCaller returns the function that sends messages to other boxes.
func (b *Box) newPeerCaller() func(ctx context.Context, address, path string, in, out any) error {
	client := &fasthttp.Client{
		Dial:                      b.dialAddress,
		ReadTimeout:               peer.CallTimeout,
		WriteTimeout:              peer.CallTimeout,
		MaxIdleConnDuration:       10 * time.Second,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
	}
	return func(ctx context.Context, address, path string, in, out any) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.SetRequestURI("http://" + address + path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		body, compressed := compress(text)
		if compressed {
			req.Header.SetContentEncoding("gzip")
		}
		req.SetBody(body)
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = time.Now().Add(peer.CallTimeout)
		}
		if err := client.DoDeadline(req, resp, deadline); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return &PeerError{Address: address, Status: resp.StatusCode()}
		}
		metrics.GetOrRegisterCounter("peer.calls", b.Metrics).Inc(1)
		metrics.GetOrRegisterCounter("peer.bytes", b.Metrics).Inc(int64(len(body) + len(resp.Body())))
		answer, err := resp.BodyUncompressed()
		if err != nil {
			return err
		}
		return json.Unmarshal(answer, out)
	}
}

func compress(text []byte) (body []byte, compressed bool) {
	if len(text) <= compressAbove {
		return text, false
	}
	return fasthttp.AppendGzipBytesLevel(nil, text, fasthttp.CompressBestSpeed), true
}

// answerJSON returns a handler that decodes a JSON message, calls answer, and encodes
// its result.
func answerJSON[In, Out any](answer func(In) Out) fiber.Handler {
	return func(c fiber.Ctx) error {
		var in In
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return writeAppError(c, err)
		}
		text, err := json.Marshal(answer(in))
		if err != nil {
			return err
		}
		body, compressed := compress(text)
		if compressed {
			c.Set(fiber.HeaderContentEncoding, "gzip")
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(body)
	}
}
