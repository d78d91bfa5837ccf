package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/peer"
	"github.com/stoneworks/stoneworks/pkg/rpc"
)

// The ports of a box.
const (
	portCallers   = "callers"
	portPeers     = "peers"
	portOperators = "operators"
	portAdmin     = "admin"
)

// idleTimeout is how long a caller's connection may be idle.
const idleTimeout = 60 * time.Second

// newApp makes an HTTP server whose every fault is a typed answer.
func (b *Box) newApp() *fiber.App {
	return fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               b.Settings.Limits.HeaderBytes,
		BodyLimit:                    1 << 40,
		IdleTimeout:                  idleTimeout,
		DisableHeadAutoRegister:      true,
		ErrorHandler:                 writeAppError,
	})
}

func writeAppError(c fiber.Ctx, err error) error {
	f := outcome.NewNotRun(outcome.ReasonBadRequest, err.Error())
	if fe, ok := err.(*fiber.Error); ok && (fe.Code == fasthttp.StatusRequestHeaderFieldsTooLarge || fe.Code == fasthttp.StatusRequestEntityTooLarge) {
		f.Reason = outcome.ReasonTooLarge
	}
	entry.WriteFailure(c.RequestCtx(), "none", f)
	c.RequestCtx().Response.SetConnectionClose()
	return nil
}

// serve starts the servers on the open ports.
func (b *Box) serve(listeners map[string]net.Listener) {
	b.serveHTTP(listeners[portCallers], b.callersApp())
	b.serveHTTP(listeners[portPeers], b.peersApp())
	b.serveHTTP(listeners[portAdmin], b.adminApp())
	b.serveOperators(listeners[portOperators])
}

func (b *Box) serveHTTP(l net.Listener, app *fiber.App) {
	b.apps = append(b.apps, app)
	b.background.Go(func() {
		err := app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil && b.context.Err() == nil {
			b.log.Warn("server ended", map[string]any{"error": err})
		}
	})
	context.AfterFunc(b.context, func() { _ = l.Close() })
}

// shutApps closes idle connections and waits until the last bytes of answers
// are on their way.
func (b *Box) shutApps(ctx context.Context) {
	wg := conc.NewWaitGroup()
	for _, app := range b.apps {
		wg.Go(func() { _ = app.ShutdownWithContext(ctx) })
	}
	wg.Wait()
}

func (b *Box) callersApp() *fiber.App {
	app := b.newApp()
	app.Get(entry.PathLookup, func(c fiber.Ctx) error {
		b.Entry.ServeLookup(c.RequestCtx())
		return nil
	})
	app.Use(func(c fiber.Ctx) error {
		b.serveRequest(c.RequestCtx(), false)
		return nil
	})
	return app
}

func (b *Box) serveRequest(ctx *fasthttp.RequestCtx, fromPeer bool) {
	b.inFlight.Add(1)
	b.Entry.Serve(ctx, fromPeer, func() { b.inFlight.Add(-1) })
	if b.leaving.Load() {
		ctx.Response.SetConnectionClose()
	}
}

func (b *Box) peersApp() *fiber.App {
	app := b.newApp()
	app.Post(peer.PathExchange, answerJSON(b.Exchanger.AnswerBeacon))
	app.Post(peer.PathSync, answerJSON(b.Exchanger.AnswerSync))
	app.Use(func(c fiber.Ctx) error {
		b.serveRequest(c.RequestCtx(), true)
		return nil
	})
	return app
}

// answerJSON makes a handler from a function of two messages.
func answerJSON[In, Out any](answer func(In) Out) fiber.Handler {
	return func(c fiber.Ctx) error {
		var in In
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return writeAppError(c, err)
		}
		return c.JSON(answer(in))
	}
}

func (b *Box) adminApp() *fiber.App {
	app := b.newApp()
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !b.Ready() || b.leaving.Load() {
			return c.Status(fasthttp.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		metrics.GetOrRegisterGauge("log.dropped", b.Metrics).Update(b.handler.Dropped())
		metrics.GetOrRegisterGauge("once.records", b.Metrics).Update(int64(b.Once.Len()))
		metrics.GetOrRegisterGauge("requests.in_flight", b.Metrics).Update(b.inFlight.Load())
		c.Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(b.Metrics, c.Response().BodyWriter())
		return nil
	})
	return app
}

func (b *Box) serveOperators(l net.Listener) {
	server := rpc.NewServer(b.operators)
	b.background.Go(func() {
		if err := server.Serve(l); err != nil && b.context.Err() == nil {
			b.log.Warn("operators' server ended", map[string]any{"error": err})
		}
	})
	context.AfterFunc(b.context, server.Stop)
}

// closePools is part of Stop: the listeners close with the context.
func (b *Box) closePools() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.Close()
	}
	for _, p := range b.peers {
		p.Close()
	}
}

// ----------------------------------------------------------------
// Calls to peers
// ----------------------------------------------------------------

// PeerError is an answer of another box that is not 200.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("box at %s: status %d", e.Address, e.Status) }

func (b *Box) newPeerCaller() func(ctx context.Context, address, path string, in, out any) error {
	client := &fasthttp.Client{
		Dial:                      b.dialFast,
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
		req.SetBody(text)
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
		metrics.GetOrRegisterCounter("peer.bytes", b.Metrics).Inc(int64(len(text) + len(resp.Body())))
		return json.Unmarshal(resp.Body(), out)
	}
}

// hashName makes a name that the platform takes from any key.
func hashName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}
