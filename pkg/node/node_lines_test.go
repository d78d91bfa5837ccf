package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinesAreBoundedAndCounted: none is lost from the count, whatever comes at once.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	var b lineBudget
	written := 0
	for i := range 10000 {
		if b.allow(time.Duration(i) * 200 * time.Microsecond) {
			written++
		}
	}
	is.Equal(written, 2*maxLinesPerSecond)
	is.Equal(b.takeOmitted(), 10000-2*maxLinesPerSecond)
	is.Equal(b.takeOmitted(), 0)
	is.True(b.allow(5 * time.Second))
}
