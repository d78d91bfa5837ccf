package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestFingerprintsTellRequestsApart: each part of a request counts, and moving text from one
// part to another changes the fingerprint.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	request := Identity{Method: "POST", Host: "shop.example", Target: "/read/7?x=1", Customer: "a", Body: []byte("body"), Length: 4}
	again := request
	is.Equal(FingerprintOf(&request), FingerprintOf(&again))
	is.Equal(len(FingerprintOf(&request).String()), 16)
	seen := map[Fingerprint]bool{FingerprintOf(&request): true}
	for _, change := range []func(i *Identity){
		func(i *Identity) { i.Method = "PUT" },
		func(i *Identity) { i.Host = "shop.exampl" },
		func(i *Identity) { i.Target = "/read/7" },
		func(i *Identity) { i.Customer = "b" },
		func(i *Identity) { i.Customer = "" },
		func(i *Identity) { i.Body = []byte("bodY") },
		func(i *Identity) { i.Length = 5 },
		func(i *Identity) { i.Host, i.Target = "shop.example/", "read/7?x=1" },
		func(i *Identity) { i.Target, i.Customer = "/read/7?x=1a", "" },
	} {
		other := request
		change(&other)
		f := FingerprintOf(&other)
		is.True(!seen[f])
		seen[f] = true
	}
}

// BenchmarkFingerprint measures what each request costs while the table has any record: 0.5 us
// without a body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			i := Identity{Method: "GET", Host: "shop.example", Target: "/read/5e/4e51", Body: make([]byte, size), Length: int64(size)}
			for b.Loop() {
				FingerprintOf(&i)
			}
		})
	}
}
