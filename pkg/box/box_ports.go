package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"runtime/debug"
	"sync"
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

// Names of a box's ports.
const (
	portCallers   = "callers"
	portPeers     = "peers"
	portOperators = "operators"
	portAdmin     = "admin"
)

// idleTimeout is how long a connection to an HTTP port of this box may be idle.
const idleTimeout = 60 * time.Second

// newApp creates an HTTP server that answers its own errors in the format of
// entry.WriteFailure.
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

// serve starts the servers on the open listeners.
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
			b.log.Warn("HTTP server ended", map[string]any{"error": err})
		}
	})
	context.AfterFunc(b.context, func() { _ = l.Close() })
}

// shutdownApps closes idle connections and waits until the answers in progress are
// sent, or until ctx ends.
func (b *Box) shutdownApps(ctx context.Context) {
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
	done := sync.OnceFunc(func() { b.inFlight.Add(-1) })
	defer b.recoverRequest(ctx, done)
	b.Entry.Serve(ctx, fromPeer, done)
	if b.leaving.Load() {
		ctx.Response.SetConnectionClose()
	}
}

// recoverRequest recovers from a panic in one request, so that it does not end the
// process and with it all other requests. Whether that request ran is not known.
func (b *Box) recoverRequest(ctx *fasthttp.RequestCtx, done func()) {
	fault := recover()
	if fault == nil {
		return
	}
	done()
	b.log.Warn("panic in a request", map[string]any{"fault": fault, "stack": string(debug.Stack())})
	entry.WriteFailure(ctx, "none", outcome.NewUnknown(outcome.ReasonInternal, "see the log of "+b.Settings.Box))
	ctx.Response.SetConnectionClose()
}

func (b *Box) peersApp() *fiber.App {
	app := b.newApp()
	app.Post(peer.PathExchange, answerJSON(b.Exchanger.HandleHeartbeat))
	app.Post(peer.PathSync, answerJSON(b.Exchanger.HandleSync))
	app.Use(func(c fiber.Ctx) error {
		b.serveRequest(c.RequestCtx(), true)
		return nil
	})
	return app
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

// closePools closes the connections to backend servers and boxes. The listeners close
// with the box's context.
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

// hashName turns a key of any form into a name that the platform accepts.
func hashName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}
