package soak

import (
	"fmt"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Long configurations that change again and again, at boxes whose machine is small.
// ================================================================

const (
	// growthMemoryMB is the memory of the machine of a box.
	growthMemoryMB = 96
	// longRoutes is how many routes a long configuration has, of some 250 bytes each.
	longRoutes = 3500
	// longPause is the pause between two changes.
	longPause = 50 * time.Millisecond
	// memoryPause is the pause between two readings of the memory of the processes.
	memoryPause = 100 * time.Millisecond
)

// changeLongConfiguration writes long configurations for twice the time of an event, and then a short
// one.
func (r *run) changeLongConfiguration(e Event) {
	end := time.Now().Add(2 * e.Duration)
	r.injections.Go(func() {
		for ; time.Now().Before(end); time.Sleep(longPause) {
			r.configure(longRoutes)
		}
		r.configure(0)
	})
}

// manyRoutes returns routes that make a configuration long. They differ in each version.
func manyRoutes(count, version int) []machines.Route {
	list := make([]machines.Route, count)
	for i := range list {
		list[i] = machines.Route{Prefix: fmt.Sprintf("/long-%04d/", i), Kind: "safe", Service: services[0], TimeoutMS: 1000 + version}
	}
	return list
}

// watchMemory records the peak memory of each box's processes until done is closed. The memory of a
// process that has just ended cannot be read.
func (r *run) watchMemory(done <-chan struct{}) {
	for {
		for _, b := range r.boxes {
			if used, err := b.PeakMemoryMB(); err == nil {
				r.update(func(h *History) { h.PeakMemoryMB[b.IP] = max(h.PeakMemoryMB[b.IP], used) })
			}
		}
		select {
		case <-done:
			return
		case <-time.After(memoryPause):
		}
	}
}

// peakMemoryMB returns the most memory that any process has used.
func (h *History) peakMemoryMB() (most int) {
	for _, used := range h.PeakMemoryMB {
		most = max(most, used)
	}
	return most
}

// memoryExceeded finds boxes that used more memory than their machine has.
func memoryExceeded(h *History) (found []string) {
	for box, used := range h.PeakMemoryMB {
		if h.MachineMB > 0 && used > h.MachineMB {
			found = append(found, fmt.Sprintf("%s used %d MB of memory, its machine has %d MB", box, used, h.MachineMB))
		}
	}
	return found
}
