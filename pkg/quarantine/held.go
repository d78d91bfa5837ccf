package quarantine

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Path is where a box's admin address serves the requests that the box holds. Deleting
// Path/FINGERPRINT releases one.
const Path = "/v1/quarantine"

// BoxHolds are the requests that one box holds.
type BoxHolds struct {
	Box  string        `json:"box"`
	Held []HeldRequest `json:"held"`
}

// HeldRequest is a request that is kept from servers.
type HeldRequest struct {
	Fingerprint string   `json:"fingerprint"`
	Crashed     []string `json:"crashed"`
	// LeftMS is how much longer it is held, in milliseconds.
	LeftMS int64 `json:"left_ms"`
}

// HeldRequests converts records to the form that operators see, ordered by fingerprint.
func HeldRequests(records []Record) []HeldRequest {
	list := []HeldRequest{}
	for _, r := range records {
		list = append(list, HeldRequest{Fingerprint: r.Request.String(), Crashed: r.Crashed, LeftMS: r.Remaining.Milliseconds()})
	}
	slices.SortFunc(list, func(a, b HeldRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// FingerprintError reports that a text is not a fingerprint.
type FingerprintError struct {
	Text string
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("%q is no fingerprint: 16 hexadecimal digits", e.Text)
}

// ParseFingerprint parses what Fingerprint.String returns. The error is a *FingerprintError.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, &FingerprintError{Text: text}
	}
	return Fingerprint(f), nil
}

// Print writes a table of the requests that boxes hold. The error is the writer's.
func Print(w io.Writer, boxes []BoxHolds) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "FINGERPRINT\tBOX\tLEFT\tSERVERS THAT CRASHED"); err != nil {
		return err
	}
	for _, b := range boxes {
		for _, h := range b.Held {
			left := (time.Duration(h.LeftMS) * time.Millisecond).Round(time.Second)
			if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", h.Fingerprint, b.Box, left, strings.Join(h.Crashed, " ")); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}
