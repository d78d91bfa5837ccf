package canary

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/hashing"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

// TestDrawGivesTheShare: each route gives the version its share of requests, whether it has many keys,
// a handful or none, and three quarters of its requests are for few of many keys.
func TestDrawGivesTheShare(t *testing.T) {
	for _, keys := range []uint64{1, 7, 300, 1 << 40} {
		for _, share := range []float64{0.05, 0.2, 0.7} {
			t.Run(fmt.Sprint(keys, " keys, ", share), func(t *testing.T) {
				is := is.New(t)
				d := &Draw{}
				got, moved := 0, map[uint64]int{}
				const requests = 20000
				for i := range uint64(requests) {
					key := hashing.Mix(hashing.Mix(i+1) % keys)
					if d.Take("read", key, share) {
						got++
						moved[key]++
					}
				}
				is.True(float64(got) > (share-0.01)*requests && float64(got) < (share+0.01)*requests)
				if keys == 300 {
					most := slices.Sorted(maps.Values(moved))
					for sum := 0; sum < got/4; most = most[1:] {
						sum += most[0]
					}
					is.True(float64(len(most)) <= (keysPerShare*share+0.05)*float64(keys))
				}
			})
		}
	}
}

// TestReportKeepsWhatIsCompared: a judge that gets the reports of two boxes finds what a judge finds that
// has seen all answers itself; a malformed report changes nothing.
func TestReportKeepsWhatIsCompared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	whole, remote, boxes := NewJudge(now), NewJudge(now), []*Judge{NewJudge(now), NewJudge(now)}
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		isNew := i%5 == 0
		s := Sample{
			Route: "read", Server: fmt.Sprint("s", i%10/5, isNew, i%3), IsNew: isNew, Key: uint64(i%10+1) << 20, Known: !isNew, Fill: 0.5, Took: 100 * time.Millisecond,
		}
		if isNew && i > 50 {
			s.Took *= 4
		}
		whole.Observe(&s, now)
		boxes[i%2].Observe(&s, now)
		if i%25 == 24 {
			for n, b := range boxes {
				remote.AddReport(fmt.Sprint(n), b.Report(now), now)
			}
			is.Equal(remote.Verdict(now).Bad, whole.Verdict(now).Bad)
		}
	}
	is.True(whole.found.Bad)
	is.True(remote.found.Bad)
	broken := Report{Comparisons: []Comparison{{Route: "read", Others: []byte{1, 200, 1, 9, 255, 255}}}, Answers: []byte{9, 1, 2, 3}}
	NewJudge(now).AddReport("box", broken, now)
}

// TestColdAnswersDoNotCount guards against judging servers by their cold start, and against taking keys as
// known that a server has lost with it.
func TestColdAnswersDoNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := NewJudge(now)
	for range 200 {
		j.Observe(&Sample{Route: "read", Server: "old", Known: true, Key: 1 << 20, Took: 100 * time.Millisecond}, now)
	}
	for range 50 {
		j.Observe(&Sample{Route: "read", Server: "new", IsNew: true, Key: 1 << 20, Cold: true, Failed: true, Took: time.Second}, now)
	}
	is.Equal(j.Verdict(now), Verdict{})
	now = now.Add(time.Second)
	j.Observe(&Sample{Route: "read", Server: "new", IsNew: true, Key: 1 << 20, Took: 100 * time.Millisecond}, now)
	now = now.Add(time.Second)
	j.Observe(&Sample{Route: "read", Server: "new", IsNew: true, Key: 1 << 20, Cold: true, Took: 100 * time.Millisecond}, now)
	now = now.Add(time.Second)
	j.Observe(&Sample{Route: "read", Server: "new", IsNew: true, Key: 1 << 20, Took: 500 * time.Millisecond}, now)
	is.Equal(j.Verdict(now).BadShare, 0.0)
}

// TestReportsAreHeldAsTheyCome checks that a judge of 3,000 boxes holds no more for each than twice
// the datagram that a report came in.
func TestReportsAreHeldAsTheyCome(t *testing.T) {
	const boxes, datagram = 3000, 1200
	now := time.Unix(1000, 0)
	source, j := NewJudge(now), NewJudge(now)
	for i := range 2000 {
		source.Observe(&Sample{Route: fmt.Sprint("read-", i%6), Key: uint64(i), Known: i%3 != 0, Remote: i%4 == 0, Took: time.Duration(i%300) * time.Millisecond}, now)
	}
	reports := make([]Report, boxes)
	for i := range reports {
		reports[i] = source.Report(now)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range reports {
		j.AddReport(fmt.Sprint("box-", i), reports[i], now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > 2*datagram*boxes {
		t.Errorf("%d bytes for %d boxes", held, boxes)
	}
	runtime.KeepAlive(reports)
	runtime.KeepAlive(j)
}

// TestReportsAreBounded: a report fits into a datagram of 1,200 bytes however many routes, classes and answers
// a box has seen.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := NewJudge(now)
	for i := range 20000 {
		j.Observe(&Sample{
			Route: fmt.Sprintf("a-route-with-quite-a-long-name-%d", i%40), Server: fmt.Sprint(i % 300), IsNew: i%3 == 0, Key: uint64(i%7) << 20,
			Known: i%2 == 0, Remote: i%5 == 0, Fill: 0.5, Took: time.Duration(i%997) * time.Millisecond,
		}, now)
	}
	r := j.Report(now)
	datagram, err := (packet.Codec[Report]{}).Encode(&r)
	is.NoErr(err)
	is.True(len(datagram) <= 1200-100) // The rest is for the names of the box, the service and the version.
}

// TestAllRoutesAreCounted guards against a service with the maximum number of routes whose answers are no
// longer counted by route, so that none would have to be shown good by itself.
func TestAllRoutesAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	j := NewJudge(now)
	for i := range 10 * maxRoutes {
		j.Observe(&Sample{Route: fmt.Sprint("read-", i%maxRoutes), Server: "new", IsNew: true, Took: time.Second}, now)
	}
	j.Verdict(now)
	for i := range maxRoutes {
		is.New(t).Equal(j.seen[fmt.Sprint("read-", i)], 10.0)
	}
}
