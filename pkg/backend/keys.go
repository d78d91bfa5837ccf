package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

const (
	// rememberedKeys is the number of keys that a box remembers for each server that it sends
	// requests to.
	rememberedKeys = 256
	// halveEvery is how often the counts of a server's requests are halved. A key that becomes
	// hot or stops being hot is recognized within a few seconds.
	halveEvery = 2 * time.Second
	// hotCount is the least count of requests for a hot key. A lower count is no evidence of the
	// key's share.
	hotCount = 6
)

// keyTable holds keys that this box has recently sent to a server, and which of them the server
// has answered. A key is forgotten when another one takes its place. So the server has answered
// for a key that is found as known, and may have answered for one that is not found.
type keyTable struct {
	keys  [rememberedKeys]uint64
	known [rememberedKeys]bool
	// counts holds the requests for each key, and total those for the server. Both are halved
	// periodically.
	counts   [rememberedKeys]uint16
	total    float64
	halvedAt time.Time
}

// place returns the index of the key, which replaces another key there if necessary.
func (t *keyTable) place(key uint64) int {
	i := int(key % rememberedKeys)
	if t.keys[i] != key {
		t.keys[i], t.known[i], t.counts[i] = key, false, 0
	}
	return i
}

// sent counts a request for the key.
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

// answered records that the server knows the key.
func (t *keyTable) answered(key uint64) { t.known[t.place(key)] = true }

// has reports whether the server has answered for the key. A nil table, for a server that was
// sent nothing, has no keys.
func (t *keyTable) has(key uint64) bool {
	if t == nil {
		return false
	}
	i := key % rememberedKeys
	return t.keys[i] == key && t.known[i]
}

// hot reports whether the key makes up a large part of the server's requests.
func (t *keyTable) hot(p *policy.Policy, key uint64) bool {
	if t == nil {
		return false
	}
	i := key % rememberedKeys
	count := float64(t.counts[i])
	return t.keys[i] == key && count >= hotCount && count >= p.HotShare*t.total
}
