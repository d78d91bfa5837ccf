package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

const (
	// rememberedKeys is how many keys a box remembers of each server that it
	// sends requests to.
	rememberedKeys = 256
	// halveEvery is how often the counts of a server's requests are halved:
	// within a few seconds a key is known to have become hot, or to have
	// cooled down.
	halveEvery = 2 * time.Second
	// hotCount is how many counted requests make a key hot at least: fewer say
	// nothing of its share.
	hotCount = 6
)

// keyTable remembers keys that were lately sent to a server by this box, and
// which of them it answered. A key whose place is taken by another one is
// forgotten, so a key that is found was answered there, while one that is not
// found may have been.
type keyTable struct {
	keys  [rememberedKeys]uint64
	known [rememberedKeys]bool
	// counts are the requests for each key, total all of the server's, halved
	// from time to time.
	counts   [rememberedKeys]uint16
	total    float64
	halvedAt time.Time
}

// place returns the key's place, taken from another key if need be.
func (t *keyTable) place(key uint64) int {
	i := int(key % rememberedKeys)
	if t.keys[i] != key {
		t.keys[i], t.known[i], t.counts[i] = key, false, 0
	}
	return i
}

// sent counts a request.
func (t *keyTable) sent(key uint64, now time.Time) {
	if now.Sub(t.halvedAt) >= halveEvery {
		t.halvedAt = now
		t.total /= 2
		for i := range t.counts {
			t.counts[i] /= 2
		}
	}
	t.total++
	if i := t.place(key); t.counts[i] < 1<<15 {
		t.counts[i]++
	}
}

// answered notes that the server knows the key.
func (t *keyTable) answered(key uint64) { t.known[t.place(key)] = true }

// has reports whether the server has answered for the key. A nil table, of a
// server that was sent nothing, has none.
func (t *keyTable) has(key uint64) bool {
	if t == nil {
		return false
	}
	i := key % rememberedKeys
	return t.keys[i] == key && t.known[i]
}

// hot reports whether the key is a large part of what the server gets.
func (t *keyTable) hot(p *policy.Policy, key uint64) bool {
	if t == nil {
		return false
	}
	i := key % rememberedKeys
	count := float64(t.counts[i])
	return t.keys[i] == key && count >= hotCount && count >= p.HotShare*t.total
}
