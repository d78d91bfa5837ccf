package ingress

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNamedOptionsAreHopByHop checks that headers that a Connection header names stay on their
// connection, in any case and with any spaces.
func TestNamedOptionsAreHopByHop(t *testing.T) {
	options := connectionListed([]string{"close, x-One ,X-TWO", "", "1f!", ","})
	for name, want := range map[string]bool{
		"X-One": true, "X-Two": true, "1f!": true, "Te": true, "Close": true, "X-Three": false, "X": false,
	} {
		is.New(t).Equal(isHopByHop(name, options), want)
	}
	is.New(t).True(!isHopByHop("X-One", connectionListed(nil)))
}

// BenchmarkConnectionOptions measures a head of 16 kB, half of it options and half of it lines.
func BenchmarkConnectionOptions(b *testing.B) {
	names := make([]string, 1300)
	for i := range names {
		names[i] = fmt.Sprintf("%c%c%c", 'A'+i/676, 'a'+i/26%26, 'a'+i%26)
	}
	values := []string{strings.Repeat("a,", 4000)}
	for b.Loop() {
		options := connectionListed(values)
		for _, name := range names {
			isHopByHop(name, options)
		}
	}
}
