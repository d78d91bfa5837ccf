package customer

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestOwnerOfAKey(t *testing.T) {
	is := is.New(t)
	k, err := NewKeyring([]Customer{
		{Name: "studio", Keys: []Digest{DigestOf("first-key"), DigestOf("second-key")}},
		{Name: "label", Keys: []Digest{DigestOf("third-key")}},
	})
	is.NoErr(err)
	is.Equal(k.Owner(DigestOf("first-key")).Name, "studio")
	is.Equal(k.Owner(DigestOf("second-key")).Name, "studio")
	is.Equal(k.Owner(DigestOf("third-key")).Name, "label")
	is.Equal(k.Owner(DigestOf("third-ke")), nil)
	is.Equal(k.Owner(DigestOf("")), nil)
}

func TestSharedKeyErrorDoesNotRevealTheKey(t *testing.T) {
	is := is.New(t)
	_, err := NewKeyring([]Customer{
		{Name: "studio", Keys: []Digest{DigestOf("shared-secret")}},
		{Name: "label", Keys: []Digest{DigestOf("shared-secret")}},
	})
	var shared *SharedKeyError
	is.True(errors.As(err, &shared))
	is.Equal(shared.First+" "+shared.Second, "studio label")
	is.True(!strings.Contains(err.Error(), "shared-secret"))
}

func TestACustomerIsNeverShownWithItsKeys(t *testing.T) {
	is := is.New(t)
	c := Customer{Name: "studio", Keys: []Digest{DigestOf("very-secret")}}
	text, err := json.Marshal(c)
	is.NoErr(err)
	for _, shown := range []string{string(text), fmt.Sprint(c), fmt.Sprintf("%+v", c), fmt.Sprintf("%v", c.Keys[0])} {
		is.True(!strings.Contains(shown, "very-secret"))
	}
	is.True(strings.Contains(string(text), c.Keys[0].String()))
}

func TestRegions(t *testing.T) {
	is := is.New(t)
	is.True((&Customer{}).RegionAllowed("east"))
	is.True((&Customer{AllowedRegions: []string{"west", "east"}}).RegionAllowed("east"))
	is.True(!(&Customer{AllowedRegions: []string{"west"}}).RegionAllowed("east"))
}

// BenchmarkOwner shows that the time of a lookup, including the digest, does not depend on the
// number of keys.
func BenchmarkOwner(b *testing.B) {
	for _, keys := range []int{79, 100_000} {
		customers := make([]Customer, keys)
		for i := range customers {
			customers[i] = Customer{Name: fmt.Sprint(i), Keys: []Digest{DigestOf(fmt.Sprint("key-", i))}}
		}
		k, err := NewKeyring(customers)
		if err != nil {
			b.Fatal(err)
		}
		for _, c := range []struct{ name, key string }{
			{"known", "key-50"}, {"same-beginning", "key-5x"}, {"nothing-in-common", "zzzzzz"},
		} {
			b.Run(fmt.Sprintf("%d/%s", keys, c.name), func(b *testing.B) {
				for range b.N {
					k.Owner(DigestOf(c.key))
				}
			})
		}
	}
}
