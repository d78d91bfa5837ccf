// Package hashing has the hash function for decisions. Its results are the same on all boxes
// and must never change. It imports no other package of the project.
package hashing

import "hash/fnv"

// Of hashes a list of strings. Each is followed by a zero byte, so that a different division
// of the same text gives a different hash.
func Of(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return Mix(h.Sum64())
}

// Mix distributes the bits of x over the whole word.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
