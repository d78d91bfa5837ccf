package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLogGateLetsOneLinePass in each time, so that a server that names what is no limit in each
// answer does not fill the log.
func TestLogGateLetsOneLinePass(t *testing.T) {
	is := is.New(t)
	var g logLimiter
	lines := 0
	for now := time.Duration(0); now <= 10*time.Second; now += 10 * time.Millisecond {
		if g.allow(now, time.Second) {
			lines++
		}
	}
	is.Equal(lines, 11)
}
