package entry

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// PathLookup is the path at which callers look up which boxes to use.
const PathLookup = "/v1/lookup"

// Lookup is the answer to a look-up.
type Lookup struct {
	Service string `json:"service"`
	Client  string `json:"client"`
	// Entries are the boxes to use, best first.
	Entries []LookupEntry `json:"entries"`
	// TTLMS is the time in milliseconds for which the answer may be used.
	TTLMS int64 `json:"ttl_ms"`
}

// LookupEntry is one box that a caller may use.
type LookupEntry struct {
	Box     string `json:"box"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// KeyPrefix is the prefix of idempotency keys that this box owns; the caller
	// appends "/" and an id of its own.
	KeyPrefix string `json:"key_prefix"`
}

// ServeLookup answers a look-up.
func (e *Handler) ServeLookup(ctx *fasthttp.RequestCtx) {
	answer, failure := e.lookup(ctx)
	if failure != nil {
		e.CountOutcome(string(failure.Outcome) + "." + string(failure.Reason))
		WriteFailure(ctx, newID(), failure)
		return
	}
	e.CountOutcome("lookup")
	text, _ := json.Marshal(answer)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(append(text, '\n'))
}

func (e *Handler) lookup(ctx *fasthttp.RequestCtx) (*Lookup, *outcome.Failure) {
	arguments := ctx.QueryArgs()
	service, clientText := string(arguments.Peek("service")), string(arguments.Peek("client"))
	if clientText == "" {
		clientText = ctx.RemoteIP().String()
	}
	client, err := parseClientOrBlock(clientText)
	if err != nil {
		return nil, badRequest("client: allowed is an IP number or a block such as 10.1.0.0/16")
	}
	if !e.Ready() {
		return nil, outcome.NewNotRun(outcome.ReasonNotReady, "").WithRetryAfter(time.Second)
	}
	s := e.Snapshot()
	if s.Services[service] == nil {
		return nil, outcome.NewNotRun(outcome.ReasonNoSuchService, fmt.Sprintf("%q", service))
	}
	answer := &Lookup{Service: service, Client: clientText, TTLMS: e.LookupTTL.Milliseconds(), Entries: []LookupEntry{}}
	for _, b := range s.Entries(client, service) {
		answer.Entries = append(answer.Entries, LookupEntry{
			Box: b.Box, Zone: b.Zone, Address: b.Callers, KeyPrefix: e.ticketOf(b).String(),
		})
	}
	e.Log.Debug("answered a look-up", map[string]any{"service": service, "client": clientText, "entries": len(answer.Entries)})
	return answer, nil
}

// ticketOf returns a ticket of the box, issued now. The age last received from the
// box is less than its present age, so the ticket expires early rather than late.
func (e *Handler) ticketOf(b *decide.BoxView) idempotency.Ticket {
	t := idempotency.Ticket{Box: b.Box, Incarnation: b.Incarnation, Issued: time.Duration(b.AgeMS) * time.Millisecond}
	if b.Box == e.Self {
		t.Incarnation, t.Issued = e.Incarnation, e.Age()
	}
	return t
}

func parseClientOrBlock(text string) (netip.Addr, error) {
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Addr().Unmap(), nil
	}
	a, err := netip.ParseAddr(text)
	return a.Unmap(), err
}
