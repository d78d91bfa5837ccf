package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLogLimiterAllowsOneLinePerInterval checks that one line per interval is logged, so that a
// server that sends a malformed limit in every answer does not flood the log.
func TestLogLimiterAllowsOneLinePerInterval(t *testing.T) {
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
