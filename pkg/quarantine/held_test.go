package quarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPrintHeldRequests(t *testing.T) {
	is := is.New(t)
	held := HeldRequests([]Record{
		{Request: 0xb, Crashed: []string{"i-1", "i-2", "i-3"}, Remaining: 90 * time.Second},
		{Request: 0xa, Crashed: []string{"i-4@1770320509021"}, Remaining: time.Second},
	})
	var text strings.Builder
	is.NoErr(Print(&text, []BoxHolds{{Box: "box-1", Held: held}, {Box: "box-2"}}))
	is.Equal(text.String(), strings.Join([]string{
		"FINGERPRINT       BOX    LEFT   SERVERS THAT CRASHED",
		"000000000000000a  box-1  1s     i-4@1770320509021",
		"000000000000000b  box-1  1m30s  i-1 i-2 i-3",
		"",
	}, "\n"))
}

func TestParseFingerprint(t *testing.T) {
	is := is.New(t)
	f, err := ParseFingerprint(Fingerprint(0xcf299eaf).String())
	is.NoErr(err)
	is.Equal(f, Fingerprint(0xcf299eaf))
	for _, text := range []string{"", "7", "zzzzzzzzzzzzzzzz", "00000000000000000", "-00000000000000a"} {
		_, err := ParseFingerprint(text)
		_, typed := err.(*FingerprintError)
		is.True(typed)
	}
}

// TestStoredHoldsAreReadBack: a stored hold is read back while it lasts, and what no box would
// have written is ignored.
func TestStoredHoldsAreReadBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_770_320_509, 0)
	r := Record{Request: 7, Crashed: []string{"i-1", "i-2@1770320509021", "i-3"}, Remaining: time.Minute}
	stored := NewStoredHold(&r, now)
	back, ok := stored.Record(7, now.Add(10*time.Second))
	is.True(ok)
	is.Equal(back, Record{Request: 7, Crashed: r.Crashed, Remaining: 50 * time.Second})
	for _, s := range []StoredHold{
		{}, {Crashed: r.Crashed}, {UntilMS: stored.UntilMS}, {Crashed: []string{""}, UntilMS: stored.UntilMS},
		{Crashed: []string{strings.Repeat("i", 200)}, UntilMS: stored.UntilMS}, {Crashed: make([]string, 100), UntilMS: stored.UntilMS},
	} {
		_, ok := s.Record(7, now)
		is.True(!ok)
	}
	_, ok = stored.Record(7, now.Add(time.Hour))
	is.True(!ok)
}
