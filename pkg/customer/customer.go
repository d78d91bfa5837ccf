// Package customer holds what a configuration says of the customers whose
// requests a box serves: their keys, their limits, and the regions in which their
// requests may run. It has no input or output.
//
// A key is a secret. It is turned into a Digest where it is read, from the
// configuration as from a request, and nothing else of it is kept; so no log line,
// error, metric or page can tell it.
package customer

import (
	"crypto/sha256"
	"encoding/hex"
)

// Customer is one customer of the deployment.
type Customer struct {
	Name string `json:"name"`
	// Keys are the digests of the keys that its clients may send.
	Keys []Digest `json:"keys"`
	// Priority is the rank of its requests and goes before their route's; 0 is
	// highest.
	Priority int `json:"priority"`
	// Rate bounds its requests a second over all boxes, 0 for no bound, and Burst
	// is how many more it may send at once.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// AllowedRegions bounds where its requests may run; empty allows all regions.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// RegionAllowed reports whether the customer's requests may run in the region.
func (c *Customer) RegionAllowed(region string) bool { return RegionIn(c.AllowedRegions, region) }

// RegionIn reports whether a list of allowed regions has the region; an empty one
// has all.
func RegionIn(allowed []string, region string) bool {
	if len(allowed) == 0 {
		return true
	}
	for _, a := range allowed {
		if a == region {
			return true
		}
	}
	return false
}

// Digest stands for a key. Looking it up takes equally long for all keys that are
// not known, however much they have in common with one that is.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// shownBytes is how much of a digest is shown: enough to tell an operator's keys
// apart, and nothing that helps to guess one.
const shownBytes = 4

// String returns the beginning of the digest, as operators see it.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// MarshalText writes the digest as String does.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
