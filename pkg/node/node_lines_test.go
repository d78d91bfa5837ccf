package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinesAreBoundedAndCounted checks that lines are bounded and that every omitted line is
// counted, however many arrive at once.
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

// TestStatesThatAlternateAreLoggedRarely guards against a line for each change of a state that clients
// make alternate.
func TestStatesThatAlternateAreLoggedRarely(t *testing.T) {
	is := is.New(t)
	lines := &stateLines{}
	begun, ended := 0, 0
	for i := range 1000 {
		now := time.Duration(i) * 20 * time.Millisecond
		if lines.allow(true, now) {
			begun++
		}
		if lines.allow(false, now) {
			ended++
		}
	}
	is.Equal(begun, 2)
	is.Equal(ended, 2)
}
