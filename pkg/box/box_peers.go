package box

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/httpjson"
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

const (
	// maxPeerAnswer is the longest answer of another box in bytes, uncompressed.
	maxPeerAnswer = 16 << 20
	// idlePeer is how long an idle connection to another box may be reused.
	idlePeer = 10 * time.Second
)

// newPeerCaller returns the function that sends messages to other boxes.
func (b *Box) newPeerCaller() func(ctx context.Context, address, path string, in, out any) error {
	return func(ctx context.Context, address, path string, in, out any) error {
		message, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body, compressed := compress(message)
		ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
		defer cancel()
		got, err := b.peerPool(address).Do(ctx, &exchange.Request{Header: peerHeader(address, path, compressed), Body: body, MaxIdle: idlePeer})
		if err != nil {
			return err
		}
		answer, err := got.ReadAll(maxPeerAnswer)
		if err != nil {
			return err
		}
		if status := got.Header.StatusCode(); status != fasthttp.StatusOK {
			return &PeerError{Address: address, Status: status}
		}
		metrics.GetOrRegisterCounter("peer.calls", b.Metrics).Inc(1)
		metrics.GetOrRegisterCounter("peer.bytes", b.Metrics).Inc(int64(len(body) + len(answer)))
		var text io.Reader = bytes.NewReader(answer)
		if string(got.Header.ContentEncoding()) == "gzip" {
			if text, err = gzip.NewReader(text); err != nil {
				return err
			}
		}
		return httpjson.Decode(text, maxPeerAnswer, out)
	}
}

func peerHeader(address, path string, compressed bool) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(fasthttp.MethodPost)
	h.SetRequestURI(path)
	h.SetHost(address)
	h.SetContentType("application/json")
	if compressed {
		h.SetContentEncoding("gzip")
	}
	return h
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
