package heads

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
)

// scan scans a text in pieces of the given sizes.
func scan(s *Scanner, text string, size func() int) (total int64) {
	for text != "" {
		n := min(len(text), size())
		total = s.Scan([]byte(text[:n]), bufferSize)
		text = text[n:]
	}
	return total
}

// TestBodiesAreNoPartOfAHead checks that counting stops at the end of a head wherever reads end.
func TestBodiesAreNoPartOfAHead(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, head := range []string{get, post, "GET / HTTP/1.0\n\n", "GET / HTTP/1.1\nA: b\r\n\n"} {
		for range 200 {
			s := &Scanner{}
			size := scan(s, head+"a\nb\nc\n\r\n", func() int { return 1 + r.IntN(12) })
			is.New(t).Equal(size, Size([]byte(head)))
		}
	}
}

// TestHeadsBehindABodyAreCounted guards against a head that arrives with the end of the body before it and
// is counted only in part.
func TestHeadsBehindABodyAreCounted(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 100)
	whole := post + "123456789GET / HTTP/1.1\r\n" + lines
	for _, cut := range []int{len(post) + 9, len(post) + 20, len(whole) - 402, len(whole) - 2, len(whole)} {
		s := &Scanner{}
		s.Scan([]byte(whole[:cut]), bufferSize)
		s.EndHead()
		s.Next()
		size := s.Scan([]byte(whole[cut:]), bufferSize)
		is.New(t).True(size >= Size([]byte("GET / HTTP/1.1\r\n"+lines)))
	}
}

// TestLinesAfterAnUnknownLineAreCounted guards against taking the end of a line, whose beginning came with
// the body before it, for the end of the head.
func TestLinesAfterAnUnknownLineAreCounted(t *testing.T) {
	s := &Scanner{}
	s.Scan([]byte(post+"123456789GET / HTTP/1.1\r\na:"), bufferSize)
	s.Next()
	before := s.Scan([]byte("\r\n"), bufferSize)
	is.New(t).True(s.Scan([]byte("b:\r\n"), bufferSize) > before)
}

// forms are heads of legal size, by what they are made of.
func forms() map[string]string {
	var short, odd strings.Builder
	for i := range 2600 {
		fmt.Fprintf(&short, "%c%c%c:\r\n", 'a'+i/676, 'a'+i/26%26, 'a'+i%26)
		fmt.Fprintf(&odd, "%d%c%c:\r\n", i/260, 'a'+i/10%26, "!#$%&'*+-."[i%10])
	}
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	return map[string]string{
		"short lines": start + short.String() + "\r\n",
		"odd names":   start + odd.String() + "\r\n",
		"one name":    start + strings.Repeat("a:\r\n", 3900) + "\r\n",
		"one line":    start + "A: " + strings.Repeat("b", 16000) + "\r\n\r\n",
		"ordinary":    start + strings.Repeat("Accept-Language: en, de;q=0.5, *;q=0.1\r\n", 12) + "\r\n",
	}
}

// TestSizeCoversWhatIsHeld checks that a head's size is at least what net/http holds of it.
func TestSizeCoversWhatIsHeld(t *testing.T) {
	const count = 50
	for name, head := range forms() {
		requests := make([]*http.Request, count)
		before := heapInUse()
		for i := range requests {
			r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), 16))
			is.New(t).NoErr(err)
			requests[i] = r
		}
		held := (heapInUse() - before) / count
		runtime.KeepAlive(requests)
		t.Logf("%s: %d bytes held, %d counted", name, held, Size([]byte(head)))
		is.New(t).True(held <= Size([]byte(head)))
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestLargeHeadsLeaveRoomForOrdinaryOnes checks that heads are refused by their size, largest first.
func TestLargeHeadsLeaveRoomForOrdinaryOnes(t *testing.T) {
	is := is.New(t)
	refused, changes := 0, []bool{}
	a := &Account{Memory: 64 << 20, OnRefused: func() { refused++ }, OnChange: func(isShort bool, _ int64) { changes = append(changes, isShort) }}
	fill := func(size int64) (count int64) {
		for a.Grow(0, size) {
			count++
		}
		return count
	}
	large, middle, ordinary := fill(700<<10), fill(40<<10), fill(4<<10)
	is.True(large > 0)
	is.True(middle > 0)
	is.True(ordinary > 100)
	is.True(a.Held() <= 16<<20)
	is.Equal(refused, 3)
	is.Equal(changes, []bool{true})
	a.Release(large*700<<10 + middle*40<<10 + ordinary*4<<10)
	is.Equal(a.Held(), int64(0))
	is.Equal(changes, []bool{true, false})
}

// TestUnknownMemoryRefusesNothing checks a box whose settings do not give the size of its machine.
func TestUnknownMemoryRefusesNothing(t *testing.T) {
	a := &Account{}
	is.New(t).True(a.Grow(0, 1<<40))
}

// TestSmallestMachineAdmitsAWholeHead guards against a bound below a single head that the limits allow.
func TestSmallestMachineAdmitsAWholeHead(t *testing.T) {
	for name, head := range forms() {
		a := &Account{Memory: 16 << 20}
		t.Log(name)
		is.New(t).True(a.Grow(0, Size([]byte(head))))
	}
}
