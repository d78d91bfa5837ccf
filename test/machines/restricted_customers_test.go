package machines

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRestrictedCustomersPassNoOtherRegion guards against requests that leave their customer's allowed
// regions through a helping box on a route that allows all regions.
func TestRestrictedCustomersPassNoOtherRegion(t *testing.T) {
	for _, cut := range []Cut{Hanging, ResetAll} {
		is := is.New(t)
		f := newCustomerFleet(t, io.Discard, 3, customers())
		eventually(t, "the boxes know each other", func() bool { return f.Boxes[0].Members.Count() == 3 })
		f.Boxes[0].CutFromServers(cut, nil)
		tr := newTrafficOf(f, 12, 10*time.Millisecond, func(c *Client, i, n int) *Answer {
			c.Address = f.Boxes[0].Clients
			return c.Do("POST", fmt.Sprint("/buy/", n), fmt.Sprintf("label-%d-%d", i, n), "body", bearer(labelKey))
		})
		time.Sleep(2 * time.Second)
		answers := tr.stopAndCount()
		is.Equal(passedOn(f, "west"), int64(0))
		is.True(counter(f.Boxes[2], "relay.served") > 0)
		served := 0
		for answer, count := range answers {
			if strings.HasPrefix(answer, "200 ") {
				served += count
			}
		}
		is.True(served > 0)
	}
}
