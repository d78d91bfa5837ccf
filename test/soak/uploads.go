package soak

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Long uploads, which servers may answer before they have read them.
// ================================================================

const (
	// maxBody is the longest body that the configurations allow.
	maxBody = 64 << 20
	// uploaders is how many clients upload at once; a body has minUpload to maxUpload bytes and is
	// sent part by part.
	uploaders  = 3
	minUpload  = 1 << 20
	maxUpload  = 3 << 20
	uploadPart = 64 << 10
	// slowShare of the uploads pause long enough after each part to outlast their timeout.
	slowShare = 0.15
	partPause = 3 * time.Millisecond
	slowPause = 100 * time.Millisecond
	// earlyExtraBytes is more than a box buffers of an answer.
	earlyExtraBytes = 400_000
	// keptStart is how much of a body the records hold.
	keptStart = 64 << 10
)

// uploadFaults are how servers handle the uploads.
var uploadFaults = []string{"", "early-refusal", "early-answer", "began-early"}

// sendUploads sends uploads to random boxes for the time of an event.
func (r *run) sendUploads(e Event) {
	end := time.Now().Add(e.Duration)
	for n := range uploaders {
		random := rand.New(rand.NewSource(int64(e.Target + n)))
		r.injections.Go(func() {
			for time.Now().Before(end) {
				r.upload(random)
			}
		})
	}
}

// upload sends one upload on a connection of its own.
func (r *run) upload(random *rand.Rand) {
	b := r.boxes[random.Intn(len(r.boxes))]
	body := make([]byte, minUpload+random.Intn(maxUpload-minUpload))
	_, _ = random.Read(body)
	sum := sha256.Sum256(body)
	q := newRequest(b, &routes[2], random)
	q.Method, q.Body, q.BodySum = "POST", string(body[:keptStart]), &sum
	isChunked, pause := random.Intn(2) == 0, partPause
	if random.Float64() < slowShare {
		pause = slowPause
	}
	headers := extraHeaders(random) + fmt.Sprintf("%s: %s\r\n", machines.FaultHeader, uploadFaults[random.Intn(len(uploadFaults))])
	if isChunked {
		headers += "Transfer-Encoding: chunked\r\n"
	} else {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	conn, err := c.Begin(q.Method, q.Target, q.ID, headers)
	if err == nil {
		var sending conc.WaitGroup
		sending.Go(func() { err = sendParts(conn, body, isChunked, pause) })
		answer := c.Read()
		sending.Wait()
		recordAnswer(c, &q, answer)
		// The end of a request that was refused before it was sent whole says nothing.
		q.IsDropped = q.IsDropped && err == nil
	}
	q.Ended = time.Now()
	r.update(func(h *History) { h.SideRequests = append(h.SideRequests, q) })
}

// sendParts sends a body part by part.
func sendParts(w io.Writer, body []byte, isChunked bool, pause time.Duration) error {
	for rest := body; len(rest) > 0; time.Sleep(pause) {
		part := rest[:min(len(rest), uploadPart)]
		rest = rest[len(part):]
		if isChunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if !isChunked {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// bodies finds bodies that a server received with a proper end and that are not as sent.
func bodies(h *History) (found []string) {
	sums := map[string][sha256.Size]byte{}
	for _, list := range [][]Request{h.Requests, h.SideRequests} {
		for _, r := range list {
			if r.BodySum != nil {
				sums[r.ID] = *r.BodySum
			} else {
				sums[r.ID] = sha256.Sum256([]byte(r.Body))
			}
		}
	}
	for server, list := range h.Bodies {
		for _, b := range list {
			if sum, isKnown := sums[b.ID]; isKnown && b.Problem == nil && b.Sum != sum {
				found = append(found, fmt.Sprintf("%s got the body of %s with %d bytes and a proper end, not as sent", server, b.ID, b.Bytes))
			}
		}
	}
	return found
}
