// Package customer holds what a configuration says about the customers whose requests a box
// serves: their keys, their limits, and the regions in which their requests may run. It has no
// input or output.
//
// A key is a secret. It is converted to a Digest where it is read, from the configuration or
// from a request, and nothing else of it is kept, so that no log line, error, metric or page
// can reveal it.
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
	// Priority is the rank of its requests and takes precedence over their route's; 0 is the
	// highest.
	Priority int `json:"priority"`
	// Rate limits its requests per second over all boxes, 0 for no limit, and Burst is how
	// many more it may send at once.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// AllowedRegions are the regions in which its requests may run; empty allows all regions.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// RegionAllowed reports whether the customer's requests may run in the region.
func (c *Customer) RegionAllowed(region string) bool { return RegionIn(c.AllowedRegions, region) }

// RegionIn reports whether a list of allowed regions contains the region; an empty list
// contains all.
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

// Digest is the SHA-256 hash of a key. Looking it up takes equally long for all unknown keys,
// however much they have in common with a known one.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// shownBytes is how much of a digest is shown: enough to distinguish an operator's keys, and
// of no help in guessing one.
const shownBytes = 4

// String returns the beginning of the digest in hexadecimal, as operators see it.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// MarshalText returns the same text as String.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
