package customer

// Credential is what a request brings to prove whose it is.
type Credential struct {
	// Present: the request names a key, in whatever form.
	Present bool
	// Malformed: what it names can be no key, or it names several.
	Malformed bool
	// Digest is that of the key.
	Digest Digest
}

// Keyring finds the customer of a key. It never changes.
type Keyring struct {
	owners map[Digest]*Customer
}

// NewKeyring makes the keyring of the customers. The error is a
// *SharedKeyError.
func NewKeyring(customers []Customer) (*Keyring, error) {
	k := &Keyring{owners: map[Digest]*Customer{}}
	for i := range customers {
		c := &customers[i]
		for _, d := range c.Keys {
			if other, ok := k.owners[d]; ok && other != c {
				return nil, &SharedKeyError{Key: d, First: other.Name, Second: c.Name}
			}
			k.owners[d] = c
		}
	}
	return k, nil
}

// Owner returns the customer whose key it is, or nil. With its digest that takes
// as long whether the key is known, has a known one's beginning, or has nothing in
// common with any, so that time tells nothing of keys.
func (k *Keyring) Owner(d Digest) *Customer { return k.owners[d] }

// SharedKeyError says that two customers have one key.
type SharedKeyError struct {
	Key    Digest
	First  string
	Second string
}

// Error implements error.
func (e *SharedKeyError) Error() string {
	return "customers " + e.First + " and " + e.Second + " share the key with the digest " + e.Key.String()
}
