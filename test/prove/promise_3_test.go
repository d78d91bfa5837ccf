package prove

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

const (
	megabyte     = 1 << 20
	largeBody    = 100 * megabyte
	maxBoxMemory = 96 * megabyte
	faultSeed    = 3
)

// TestPromise3 checks that a caller gets the complete answer to its own request, and not a
// truncated answer or the answer to another request.
func TestPromise3(t *testing.T) {
	prove(t, 3, "reuse-any", func(p *proof) {
		l := p.start("small")
		p.delayedAnswers(l)
		if len(p.violations) == 0 {
			p.awaitAnswers()
			p.streams(l)
		}
	})
}

// delayedAnswers has 18 callers share the boxes' connections while answers are delayed,
// truncated or held back, and connections are reset.
func (p *proof) delayedAnswers(l *links) {
	counts := map[outcome.Outcome]int{}
	stop := make(chan struct{})
	linkFaults := conc.NewWaitGroup()
	linkFaults.Go(func() { p.injectLinkFaults(append(l.servers, l.peers...), stop) })
	callers := conc.NewWaitGroup()
	for n := range 18 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(faultSeed, uint64(n)))
			box := n % 6
			c := caller.New(p.d.Shape.ClientOf(p.d.Shape.Zones()[n%4], n), p.d.Callers(box))
			defer c.Close()
			for range 400 {
				r := caller.Request{Service: service, Method: "PUT", MayRepeat: true, ID: harness.NewID()}
				r.Path = fmt.Sprintf("/item?ms=%d", rng.IntN(60))
				r.Body = bytes.Repeat([]byte{'x'}, rng.IntN(20_000))
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+rng.IntN(70))*time.Millisecond)
				result := c.Submit(ctx, p.d.Callers(box), caller.Submission{Request: r, ID: r.ID})
				cancel()
				p.countRequests(1)
				if wrong := harness.CheckAnswer(r, result); wrong != "" {
					p.violated("%s", wrong)
				}
				p.mu.Lock()
				counts[result.Outcome]++
				p.mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(stop)
	linkFaults.Wait()
	l.heal()
	p.addFigure("answered=%d not-run=%d unknown=%d", counts[outcome.Answered], counts[outcome.NotRun], counts[outcome.Unknown])
	if counts[outcome.Answered] == 0 {
		p.t.Error("no request was answered")
	}
}

// awaitAnswers waits until a request through every box is answered again.
func (p *proof) awaitAnswers() {
	for i := range p.d.Shape.Boxes {
		p.must(harness.WaitFor(20*time.Second, func() bool {
			id := harness.NewID()
			r := p.submit(i, caller.Request{Service: service, Method: "GET", Path: "/item"}, "", id, time.Second)
			return r.Outcome == outcome.Answered
		}))
	}
}

// injectLinkFaults sets a random fault, or none, on a random proxy every 10 ms until stop is
// closed.
func (p *proof) injectLinkFaults(proxies []*faultproxy.Proxy, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(faultSeed, faultSeed))
	faults := []faultproxy.Fault{
		{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {Delay: 30 * time.Millisecond}, {TruncateAnswers: 150}, {Reset: true}, {HoldAnswers: true},
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		proxies[rng.IntN(len(proxies))].SetAll(faults[rng.IntN(len(faults))])
		p.countFault()
	}
}

// streams passes 100 MB bodies in both directions, complete ones and downloads cut at 7 MB, and
// checks the boxes' peak memory.
func (p *proof) streams(l *links) {
	for _, c := range []struct{ zone, query string }{
		{"north-a", ""}, {"south-b", ""}, {"north-a", "&chunked=1"}, {"south-b", "&chunked=1"},
	} {
		n, err := p.download(c.zone, c.query)
		if err != nil || n != largeBody {
			p.violated("stream to %s%s: %d bytes, %v", c.zone, c.query, n, err)
		}
		if err := p.upload(c.zone, c.query != ""); err != nil {
			p.violated("upload from %s: %v", c.zone, err)
		}
	}
	for _, x := range l.servers {
		x.SetAll(faultproxy.Fault{TruncateAnswers: 7 * megabyte})
	}
	for _, query := range []string{"", "&chunked=1"} {
		for _, zone := range []string{"north-a", "south-b"} {
			p.countFault()
			if n, err := p.download(zone, query); err == nil {
				p.violated("a stream cut at 7 MB passed for whole with %d bytes", n)
			}
		}
	}
	l.heal()
	peak := int64(0)
	for i := range p.d.Shape.Boxes {
		peak = max(peak, p.d.PeakMemory(i))
	}
	p.addFigure("streams=100MB peak_box_memory=%dMB", peak/megabyte)
	if peak > maxBoxMemory {
		p.violated("a box used %d MB", peak/megabyte)
	}
}

// download reads a response of largeBody bytes through box 0 and checks every byte.
func (p *proof) download(zone, query string) (int64, error) {
	p.countRequests(1)
	id := harness.NewID()
	url := fmt.Sprintf("http://%s%s%s/track?bytes=%d%s", p.d.Callers(0), entry.PathRequests, service, largeBody, query)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	p.must(err)
	req.Header.Set(entry.HeaderRequestID, id)
	req.Header.Set(entry.HeaderClient, p.d.Shape.ClientOf(zone, 1))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(entry.HeaderOutcome) != string(outcome.Answered) {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	check := &patternWriter{pattern: []byte(strings.Repeat(id+"\n", 1024))}
	return io.Copy(check, resp.Body)
}

// patternWriter compares the data written to it with a repeated pattern.
type patternWriter struct {
	pattern []byte
	at      int
}

func (w *patternWriter) Write(data []byte) (int, error) {
	for done := 0; done < len(data); {
		n := min(len(data)-done, len(w.pattern)-w.at)
		if !bytes.Equal(data[done:done+n], w.pattern[w.at:w.at+n]) {
			return done, fmt.Errorf("wrong bytes after %d", done)
		}
		done += n
		w.at = (w.at + n) % len(w.pattern)
	}
	return len(data), nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// upload sends a body of largeBody bytes through box 0 and checks the digest in the answer.
func (p *proof) upload(zone string, chunked bool) error {
	p.countRequests(1)
	id := harness.NewID()
	body := bytes.Repeat([]byte("receipt "), largeBody/8)
	url := fmt.Sprintf("http://%s%s%s/upload", p.d.Callers(0), entry.PathRequests, service)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	p.must(err)
	if chunked {
		req.ContentLength = -1
	}
	req.Header.Set(entry.HeaderRequestID, id)
	req.Header.Set(entry.HeaderClient, p.d.Shape.ClientOf(zone, 1))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := standin.ExpectedAnswer(id, digestOf(body), int64(len(body))); string(answer) != want {
		return fmt.Errorf("status %d: %q, want %q", resp.StatusCode, answer, want)
	}
	return nil
}
