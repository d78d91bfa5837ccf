// Package heads bounds the memory that the heads of clients' requests take. A head may take some
// tens of times its size on the wire, as each of its lines is held by itself. It does no input
// or output.
package heads

import "sync/atomic"

const (
	// memoryShare is the share of the machine's memory that heads may take together.
	memoryShare = 0.25
	// freeShare is the share of that bound below which heads have room again.
	freeShare = 0.5
)

// The larger a head is, the smaller the share of the bound up to which it is admitted, so that
// large heads leave room for those of ordinary clients. Sizes are in bytes.
const (
	ordinarySize = 16 << 10
	middleSize   = 64 << 10
	middleShare  = 0.85
	largeShare   = 0.7
)

// Account counts the memory that heads take. The zero Account admits everything.
type Account struct {
	// Memory is the memory of the machine in bytes; 0 stands for unknown, and then every head is
	// admitted.
	Memory float64
	// OnRefused is called for each head that is refused, and OnChange when heads begin to be
	// refused and when half of the bound is free again. Nil functions are not called.
	OnRefused func()
	OnChange  func(isShort bool, held int64)

	held    atomic.Int64
	isShort atomic.Bool
}

// Grow counts a head that grows from one size to another, in bytes, or returns false and counts
// nothing. A size that is counted must be released.
func (a *Account) Grow(from, to int64) (ok bool) {
	held := a.held.Add(to - from)
	if a.Memory <= 0 || to <= from || float64(held) <= a.limit(to) {
		return true
	}
	a.held.Add(from - to)
	if a.OnRefused != nil {
		a.OnRefused()
	}
	a.setShort(true)
	return false
}

// Release takes back what Grow has counted.
func (a *Account) Release(size int64) {
	held := a.held.Add(-size)
	if a.isShort.Load() && float64(held) < freeShare*memoryShare*a.Memory {
		a.setShort(false)
	}
}

// Held returns how many bytes are counted.
func (a *Account) Held() int64 { return a.held.Load() }

// limit returns how many bytes may be held once a head of the given size is admitted.
func (a *Account) limit(size int64) float64 {
	share := 1.0
	switch {
	case size > middleSize:
		share = largeShare
	case size > ordinarySize:
		share = middleShare
	}
	return share * memoryShare * a.Memory
}

func (a *Account) setShort(isShort bool) {
	if a.isShort.Swap(isShort) != isShort && a.OnChange != nil {
		a.OnChange(isShort, a.Held())
	}
}
