package harness

import (
	"fmt"
	"os"
	"sync/atomic"
)

var nextID atomic.Int64

// NewID returns a request id that is unique within this machine's running processes.
func NewID() string { return fmt.Sprintf("r%d-%d", os.Getpid(), nextID.Add(1)) }
