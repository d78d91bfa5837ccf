package box

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/platform"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

func newTestBox(is *is.I) *Box { return newLoggingBox(is, logging.NewAsyncHandler(io.Discard)) }

func newLoggingBox(is *is.I, handler *logging.AsyncHandler) *Box {
	s := settings.Defaults()
	s.Box, s.Zone, s.Listen.Peers = "dakar-a-1", "dakar-a", "127.0.0.1:0"
	s.Zones = []topology.Zone{{Zone: "dakar-a", Region: "dakar"}, {Zone: "dakar-b", Region: "dakar"}, {Zone: "thies-a", Region: "thies"}}
	b := New(&s, handler)
	is.True(b != nil)
	return b
}

// TestPanicIsConfinedToItsRequest checks that a panic in one request is answered as a
// failure and does not end the process.
func TestPanicIsConfinedToItsRequest(t *testing.T) {
	is := is.New(t)
	b := newTestBox(is)
	b.Entry.Ready = func() bool { panic("fault") }
	var request fasthttp.Request
	request.SetRequestURI("/s/preview/track")
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&request, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, nil)
	b.serveRequest(ctx, false)
	is.Equal(ctx.Response.StatusCode(), 500)
	is.Equal(string(ctx.Response.Header.Peek(entry.HeaderOutcome)), string(outcome.Unknown))
	is.Equal(b.inFlight.Load(), int64(0))
}

// TestViews checks that a zone's slots belong to its own boxes, that those of a zone
// without boxes belong to the boxes of its region, and that a box that has released its
// slots gets none.
func TestViews(t *testing.T) {
	is := is.New(t)
	b := newTestBox(is)
	other := membership.Record{Box: "dakar-b-1", Zone: "dakar-b", Incarnation: "1", Version: 1}
	far := membership.Record{Box: "thies-a-1", Zone: "thies-a", Incarnation: "1", Version: 1}
	b.Table.Merge([]membership.Record{other, far})
	views := b.views(b.Table.Members())
	is.Equal([]string(views["dakar-a"]), []string{"dakar-a-1"})
	is.Equal([]string(views["dakar-b"]), []string{"dakar-b-1"})
	is.Equal(len(views), 2)
	other.Version, other.Gone = 2, true
	b.Table.Merge([]membership.Record{other})
	is.Equal([]string(b.views(b.Table.Members())["dakar-b"]), []string{"dakar-a-1"})
}

// TestPlanIsSeenAnewAfterASuspension checks that a box does not change a plan that it has not seen
// for a whole window since it was suspended: others may have moved traffic meanwhile.
func TestPlanIsSeenAnewAfterASuspension(t *testing.T) {
	is := is.New(t)
	b := newTestBox(is)
	plan := &config.Object{Name: "plan/preview", Revision: 3, ChangeID: "c"}
	const window = 20 * time.Millisecond
	is.True(!b.planSeenFor(plan.Name, plan, window))
	time.Sleep(window)
	is.True(b.planSeenFor(plan.Name, plan, window))
	b.afterSuspension(time.Second)
	b.stop()
	is.True(!b.planSeenFor(plan.Name, plan, window))
	time.Sleep(window)
	is.True(b.planSeenFor(plan.Name, plan, window))
}

// TestWriteBackIsReportedAsItEnded checks that the log says that a revision was written back only if
// it was.
func TestWriteBackIsReportedAsItEnded(t *testing.T) {
	for want, refused := range map[string]error{
		"wrote a newer revision back": nil, "newer revision was not written back": &platform.ConflictError{Current: 7},
	} {
		is := is.New(t)
		var out bytes.Buffer
		handler := logging.NewAsyncHandler(&out)
		b := newLoggingBox(is, handler)
		b.Platform = &platform.Client{Put: func(context.Context, platform.Object) (uint64, error) { return 0, refused }}
		b.Store.Merge(&config.Object{Name: "preview", Revision: 3, ChangeID: "c", Service: &model.Service{Name: "preview"}})
		b.writeBack(platform.Page{})
		ended, end := context.WithCancel(context.Background())
		end()
		handler.Run(ended)
		is.Equal(strings.Count(out.String(), "newer revision"), 1)
		is.True(strings.Contains(out.String(), want))
	}
}
