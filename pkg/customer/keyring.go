package customer

// Credential is what a request presents to identify its customer.
type Credential struct {
	// Present is set if the request names a key, in whatever form.
	Present bool
	// Malformed is set if what it names cannot be a key, or if it names several.
	Malformed bool
	// Digest is the digest of the key.
	Digest Digest
}

// Keyring finds the customer of a key. It is immutable.
type Keyring struct {
	owners map[Digest]*Customer
}

// NewKeyring returns the keyring of the customers. The error is a *SharedKeyError.
func NewKeyring(customers []Customer) (*Keyring, error) {
	k := &Keyring{owners: map[Digest]*Customer{}}
	for _, c := range customers {
		// A pointer into the list would keep all of it while a request uses the customer.
		for _, d := range c.Keys {
			if other, ok := k.owners[d]; ok && other != &c {
				return nil, &SharedKeyError{Key: d, First: other.Name, Second: c.Name}
			}
			k.owners[d] = &c
		}
	}
	return k, nil
}

// Owner returns the customer whose key has the digest, or nil. Including the digest, this
// takes equally long whether the key is known, has the beginning of a known one, or has
// nothing in common with any, so that the time reveals nothing about keys.
func (k *Keyring) Owner(d Digest) *Customer { return k.owners[d] }

// SharedKeyError reports that two customers have the same key.
type SharedKeyError struct {
	Key    Digest
	First  string
	Second string
}

// Error implements error.
func (e *SharedKeyError) Error() string {
	return "customers " + e.First + " and " + e.Second + " share the key with the digest " + e.Key.String()
}
