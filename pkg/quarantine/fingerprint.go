// Package quarantine keeps requests that crash each backend server that runs them (requests of
// death) away from the servers. It distinguishes them from requests that were only at a server
// when another request crashed it, and boxes send each other what they observe.
//
// This package has no input or output: messages are passed in and out.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies a request by what is equal in all attempts at it, at any box: its
// method, host, target, customer and body. Attempts differ in their ids.
type Fingerprint uint64

// String returns the fingerprint as it is written in logs and in the platform's store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Identity is what a fingerprint is computed from.
type Identity struct {
	Method, Host, Target string
	// Customer is the name of the customer, empty if there is none.
	Customer string
	// Body is the body or, if it is long, its beginning. Length is the length of the whole
	// body in bytes, -1 if it is not known.
	Body   []byte
	Length int64
}

// FingerprintOf returns the fingerprint of a request. It uses a cryptographic hash, so that
// nobody can craft a request with the fingerprint of another customer's.
func FingerprintOf(i *Identity) Fingerprint {
	h := sha256.New()
	for _, part := range []string{i.Method, i.Host, i.Target, i.Customer} {
		_ = binary.Write(h, binary.BigEndian, int64(len(part))) // writing to a hash never fails
		_, _ = h.Write([]byte(part))
	}
	_ = binary.Write(h, binary.BigEndian, i.Length)
	_, _ = h.Write(i.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
