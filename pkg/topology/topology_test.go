package topology

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	m := New([]Zone{{"a", "r"}, {"b", "r"}}, []Block{
		{"10.0.0.0/8", "a"}, {"10.1.0.0/16", "b"}, {"10.1.2.0/24", "a"}, {"2001:db8::/32", "b"}, {"255.255.255.0/24", "b"},
	})
	for address, want := range map[string]string{
		"10.0.0.1": "a", "10.1.0.1": "b", "10.1.2.3": "a", "10.1.3.0": "b", "10.2.0.0": "a",
		"11.0.0.0": "", "9.255.255.255": "", "2001:db8::1": "b", "2001:db9::1": "", "255.255.255.255": "b", "::ffff:10.1.0.1": "b",
	} {
		zone, _ := m.ZoneOfClient(netip.MustParseAddr(address))
		is.Equal(zone, want)
	}
}

// TestTableAgreesWithScan compares look-ups with a linear scan of the prefixes.
func TestTableAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := map[string]uint16{}
		var blocks []Block
		for range rapid.IntRange(0, 12).Draw(t, "n") {
			address := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "b")), byte(rapid.IntRange(0, 255).Draw(t, "c")), 0})
			prefix := netip.PrefixFrom(address, rapid.IntRange(6, 28).Draw(t, "bits")).Masked().String()
			if _, ok := zones[prefix]; !ok {
				zones[prefix] = uint16(len(zones))
				blocks = append(blocks, Block{prefix, prefix})
			}
		}
		table := NewBlockTable(blocks, func(z string) (uint16, bool) { return zones[z], true })
		for range 20 {
			a := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 4).Draw(t, "x")), byte(rapid.IntRange(0, 255).Draw(t, "y")), byte(rapid.IntRange(0, 255).Draw(t, "z"))})
			best, bits := -1, -1
			for p, s := range zones {
				if q := netip.MustParsePrefix(p); q.Contains(a) && q.Bits() > bits {
					best, bits = int(s), q.Bits()
				}
			}
			got, ok := table.Find(a)
			if !ok {
				got = -1
			}
			if got != best {
				t.Fatalf("%s: %d, want %d", a, got, best)
			}
		}
	})
}

// blocksOfSize returns n blocks of size /24 in 460 zones.
func blocksOfSize(n int) []Block {
	dice := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, 0, n)
	for i := range n {
		blocks = append(blocks, Block{
			Prefix: fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&255, i&255), Zone: fmt.Sprint(dice.IntN(460)),
		})
	}
	return blocks
}

func BenchmarkFindIn3300000Blocks(b *testing.B) {
	table := NewBlockTable(blocksOfSize(3_300_000), func(z string) (uint16, bool) {
		var zone uint16
		_, err := fmt.Sscan(z, &zone)
		return zone, err == nil
	})
	dice := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = netip.AddrFrom4([4]byte{byte(1 + dice.IntN(50)), byte(dice.IntN(256)), byte(dice.IntN(256)), 1})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		table.Find(addresses[i&(1<<16-1)])
	}
	b.ReportMetric(float64(len(table.starts4)*6+len(table.index4)*4)/(1<<20), "MB")
}
