// Package quarantine keeps requests from backend servers that crash each server that
// runs them: requests of death. It tells them from requests that were only at a server
// when it crashed under another one, and boxes tell each other what they saw.
//
// This package has no input or output: messages are handed in and out.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint names what is equal in all attempts at one request, at any box: its
// method, host, target, customer and body. Attempts differ in their ids.
type Fingerprint uint64

// String returns the fingerprint as logs and the platform's store have it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Identity is what a fingerprint is made of.
type Identity struct {
	Method, Host, Target string
	// Customer is the name of the customer, empty where there is none.
	Customer string
	// Body is the body or, of a long one, its beginning, and Length the whole body's, in
	// bytes; -1 if that is not known.
	Body   []byte
	Length int64
}

// FingerprintOf returns the fingerprint of a request. It takes a cryptographic hash, so
// that nobody can make a request that has the fingerprint of another customer's.
func FingerprintOf(i *Identity) Fingerprint {
	h := sha256.New()
	for _, part := range []string{i.Method, i.Host, i.Target, i.Customer} {
		_ = binary.Write(h, binary.BigEndian, int64(len(part))) // a hash takes all that is written
		_, _ = h.Write([]byte(part))
	}
	_ = binary.Write(h, binary.BigEndian, i.Length)
	_, _ = h.Write(i.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
