package prove

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

// TestPromise5 checks that a planned stop of a box interrupts no request: every box in turn is
// stopped and started again under load, with slow downloads and uploads in flight.
func TestPromise5(t *testing.T) {
	prove(t, 5, "exit-at-once", func(p *proof) {
		p.start("small")
		load := p.startTraffic(4, 30)
		long := p.startStreams(3)
		slowest := time.Duration(0)
		for i := range p.d.Shape.Boxes {
			began := time.Now()
			p.countFault()
			if code := p.d.Terminate(i); code != 0 {
				p.violated("box %d exited with %d", i, code)
			}
			slowest = max(slowest, time.Since(began))
			p.must(p.d.StartBox(i))
			p.must(p.d.WaitReady(i))
			p.awaitAllLive()
		}
		streams := long.end()
		answered, notRun, unknown, reasons := load.end()
		p.checkPeaks()
		p.addFigure("answered=%d not-run=%d unknown=%d streams=%d slowest_stop=%dms", answered, notRun, unknown, streams, slowest.Milliseconds())
		if notRun+unknown > 0 {
			p.violated("requests lost by planned stops: %v", reasons)
		}
		if streams == 0 {
			p.t.Error("no download or upload completed")
		}
	})
}

// streamLoad is a load of slow downloads and uploads. It counts the completed ones.
type streamLoad struct {
	p    *proof
	stop chan struct{}
	wg   *conc.WaitGroup
	done atomic.Int64
}

// startStreams starts n callers in each zone, each of which runs slow downloads and uploads in
// turn.
func (p *proof) startStreams(n int) *streamLoad {
	s := &streamLoad{p: p, stop: make(chan struct{}), wg: conc.NewWaitGroup()}
	for _, zone := range p.d.Shape.Zones() {
		for i := range n {
			s.wg.Go(func() { s.caller(zone, i) })
		}
	}
	return s
}

func (s *streamLoad) end() int64 {
	close(s.stop)
	s.wg.Wait()
	return s.done.Load()
}

func (s *streamLoad) caller(zone string, n int) {
	p := s.p
	c := caller.New(p.d.Shape.ClientOf(zone, n), p.d.AllCallers()...)
	defer c.Close()
	httpClient := &http.Client{Transport: &http.Transport{}}
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		entries, err := c.Lookup(p.ctx(5*time.Second), service)
		if err != nil {
			p.violated("no look-up: %v", err)
			continue
		}
		p.countRequests(1)
		if i%2 == 0 {
			err = s.download(httpClient, entries[0], c.Address)
		} else {
			err = s.upload(httpClient, entries[0], c.Address)
		}
		if err != nil {
			p.violated("stream through %s: %v", entries[0].Box, err)
			continue
		}
		s.done.Add(1)
	}
}

func (s *streamLoad) request(method string, e entry.LookupEntry, path, id, client string, body io.Reader) *http.Request {
	req, err := http.NewRequest(method, "http://"+e.Address+entry.PathRequests+service+path, body)
	s.p.must(err)
	req.Header.Set(entry.HeaderRequestID, id)
	req.Header.Set(entry.HeaderClient, client)
	return req
}

// download runs a download of 200 kB that takes about two seconds.
func (s *streamLoad) download(httpClient *http.Client, e entry.LookupEntry, client string) error {
	id := harness.NewID()
	const size = 200_000
	resp, err := httpClient.Do(s.request(http.MethodGet, e, fmt.Sprintf("/track?bytes=%d&pause_ms=150", size), id, client, nil))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(entry.HeaderOutcome) != string(outcome.Answered) {
		return fmt.Errorf("status %d %s", resp.StatusCode, resp.Header.Get(entry.HeaderReason))
	}
	n, err := io.Copy(&patternWriter{pattern: []byte(strings.Repeat(id+"\n", 1024))}, resp.Body)
	if err == nil && n != size {
		err = fmt.Errorf("%d bytes", n)
	}
	return err
}

// upload runs an upload of 400 kB that takes about one second.
func (s *streamLoad) upload(httpClient *http.Client, e entry.LookupEntry, client string) error {
	id := harness.NewID()
	part := bytes.Repeat([]byte("u"), 40_000)
	slow := &slowReader{parts: 10, part: part, pause: 100 * time.Millisecond}
	resp, err := httpClient.Do(s.request(http.MethodPut, e, "/upload", id, client, slow))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := standin.ExpectedAnswer(id, digestOf(bytes.Repeat(part, 10)), 400_000); string(answer) != want {
		return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return nil
}

// slowReader returns the part repeatedly, with a pause before each repetition.
type slowReader struct {
	parts int
	part  []byte
	pause time.Duration
	left  []byte
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		if r.parts == 0 {
			return 0, io.EOF
		}
		time.Sleep(r.pause)
		r.parts--
		r.left = r.part
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}
