package harness

import (
	"fmt"
	"os"
	"sync/atomic"
)

var nextID atomic.Int64

// NewID returns an id that no other request of this run has.
func NewID() string { return fmt.Sprintf("r%d-%d", os.Getpid(), nextID.Add(1)) }
