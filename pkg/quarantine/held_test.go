package quarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOperatorsAreToldWhatIsHeld(t *testing.T) {
	is := is.New(t)
	held := HeldOf([]Record{
		{Request: 0xb, Crashed: []string{"i-1", "i-2", "i-3"}, Left: 90 * time.Second},
		{Request: 0xa, Crashed: []string{"i-4@1770320509021"}, Left: time.Second},
	})
	var text strings.Builder
	is.NoErr(Print(&text, []Box{{Box: "box-1", Held: held}, {Box: "box-2"}}))
	is.Equal(text.String(), strings.Join([]string{
		"FINGERPRINT       BOX    LEFT   SERVERS THAT CRASHED",
		"000000000000000a  box-1  1s     i-4@1770320509021",
		"000000000000000b  box-1  1m30s  i-1 i-2 i-3",
		"",
	}, "\n"))
}

func TestFingerprintsAreRead(t *testing.T) {
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
