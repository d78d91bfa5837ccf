package daemon

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// TestMemoryLimitFollowsTheMachine guards against garbage that exceeds the machine's memory.
func TestMemoryLimitFollowsTheMachine(t *testing.T) {
	is := is.New(t)
	former := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(former) })
	limitMemory(settings.Machine{})
	is.Equal(debug.SetMemoryLimit(-1), former)
	limitMemory(settings.Machine{MemoryMB: 100})
	is.Equal(debug.SetMemoryLimit(-1), int64(70<<20))
}
