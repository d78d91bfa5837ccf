// Package heap measures what a test keeps in memory.
package heap

import "runtime"

// Live returns the length of the heap that is in use, in bytes.
func Live() int {
	// What the first collection finalizes is freed by the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
