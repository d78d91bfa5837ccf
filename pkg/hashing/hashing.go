// Package hashing has the one hash of decisions: equal on all boxes, for ever.
// It imports nothing of the project.
package hashing

import "hash/fnv"

// Of hashes strings, told apart from each other.
func Of(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return Mix(h.Sum64())
}

// Mix spreads the bits of x over the whole word.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
