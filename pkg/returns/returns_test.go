package returns

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDecide checks each condition under which a first attempt is left to its client.
func TestDecide(t *testing.T) {
	first := Shed{HasRoom: true, RetryAfter: 10 * time.Millisecond, Left: 3 * time.Second, Latency: 200 * time.Millisecond}
	cases := []struct {
		name   string
		change func(s *Shed)
		want   Decision
	}{
		{"first attempt", func(*Shed) {}, RetryIfSpare},
		{"return", func(s *Shed) { s.IsReturn = true }, Retry},
		{"server is full", func(s *Shed) { s.HasRoom = false }, Retry},
		{"client does not wait that long", func(s *Shed) { s.RetryAfter = 1001 * time.Millisecond }, Retry},
		{"no time for another attempt", func(s *Shed) { s.Left = 400 * time.Millisecond }, Retry},
		{"unknown latency", func(s *Shed) { s.Latency = 0 }, RetryIfSpare},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := first
			c.change(&s)
			is.Equal(Decide(s), c.want)
		})
	}
}
