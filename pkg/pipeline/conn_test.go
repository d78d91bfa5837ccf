package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/heads"
)

// serve serves connections through Conn with a handler until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	return serveWith(t, &heads.Account{}, handler)
}

// serveWith is serve with an account of heads.
func serveWith(t *testing.T, account *heads.Account, handler http.HandlerFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &Handler{
		Next: handler, MayServeAhead: func(r *http.Request) bool { return r.URL.Path == "/ahead" },
		Count: func(name string) { t.Log(name) }, Heads: account,
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ConnContext: ConnContext}
	go func() { _ = s.Serve(&wrappingListener{l, h}) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

type wrappingListener struct {
	net.Listener
	handler *Handler
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.handler.Wrap(c), nil
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestRequestsBeyondMaxPendingAreServed checks that a client that sends more requests than are held
// after the one being served gets an answer to each, in order.
func TestRequestsBeyondMaxPendingAreServed(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	const requests = 1000
	request := "GET /a HTTP/1.1\r\nHost: h\r\n" + "X: " + strings.Repeat("x", 40) + "\r\n\r\n"
	is.True(requests*len(request) > 4*maxPending)
	go func() { _, _ = io.WriteString(c, strings.Repeat(request, requests)) }()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	got := 0
	buffer := make([]byte, 64<<10)
	text := ""
	for got < requests {
		n, err := c.Read(buffer)
		is.NoErr(err)
		text += string(buffer[:n])
		got += strings.Count(text, "\r\n\r\n/a")
		if i := strings.LastIndex(text, "\r\n\r\n/a"); i >= 0 {
			text = text[i+6:]
		}
	}
	is.Equal(got, requests)
}

// TestEarlyAnswerIsNotLostToAReset checks that an answer that is sent while the client is
// still sending its body reaches the client.
func TestEarlyAnswerIsNotLostToAReset(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	})
	c := dial(t, address)
	_, err := io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500000))
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 413"))
}

// TestAnswersComeInOrder checks that answers come in order, however long each takes and
// whatever its size.
func TestAnswersComeInOrder(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var wait, size int
		_, err := fmt.Sscanf(r.Header.Get("Want"), "%d %d", &wait, &size)
		if err != nil {
			http.Error(w, "malformed header Want", http.StatusBadRequest)
			return
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
		w.Header().Set("Id", r.Header.Get("Id"))
		half := strings.Repeat("x", size/2)
		_, _ = io.WriteString(w, half)
		_, _ = io.WriteString(w, half)
	})
	c := dial(t, address)
	const requests = 60
	var stream strings.Builder
	sizes := make([]int, requests)
	for i := range requests {
		sizes[i] = 2 * r.IntN(maxHeld)
		path := []string{"/ahead", "/ahead", "/ahead", "/one"}[r.IntN(4)]
		fmt.Fprintf(&stream, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\nWant: %d %d\r\n\r\n", path, i, r.IntN(30), sizes[i])
	}
	go func() { _, _ = io.WriteString(c, stream.String()) }()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(c)
	for i := range requests {
		a, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(a.Header.Get("Id"), fmt.Sprint(i))
		body, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(len(body), sizes[i])
	}
}

// TestAbortedAnswerEndsItsConnection checks that requests before the aborted one are answered
// whole and those after it are not answered.
func TestAbortedAnswerEndsItsConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if r.Header.Get("Abort") != "" {
			panic(http.ErrAbortHandler)
		}
	})
	c := dial(t, address)
	request := "GET /ahead HTTP/1.1\r\nHost: h\r\n"
	_, err := io.WriteString(c, request+"\r\n"+request+"Abort: 1\r\n\r\n"+request+"\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(all), "HTTP/1.1 200"), 1)
}

// TestPartOfAnAbortedAnswerIsNotWhole checks that an answer served ahead that breaks off has no end, whether
// its part was held or not.
func TestPartOfAnAbortedAnswerIsNotWhole(t *testing.T) {
	for _, size := range []int{1, maxHeld, maxHeld + 1} {
		is := is.New(t)
		address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if r.Header.Get("Abort") != "" {
				_, _ = w.Write(make([]byte, size))
				panic(http.ErrAbortHandler)
			}
		})
		c := dial(t, address)
		_, err := io.WriteString(c, "GET /ahead HTTP/1.1\r\nHost: h\r\n\r\nGET /ahead HTTP/1.1\r\nHost: h\r\nAbort: 1\r\n\r\n")
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		reader := bufio.NewReader(c)
		first, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, first.Body)
		is.NoErr(err)
		second, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, second.Body)
		}
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
}

// TestNoAnswerClosesInFrontOfRequestsThatAreServed checks that a box that begins to stop while
// requests are served ahead closes their connection with the last of them, and that what follows
// that one is not served.
func TestNoAnswerClosesInFrontOfRequestsThatAreServed(t *testing.T) {
	for _, first := range []string{"/ahead", "/one"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			var begun atomic.Int32
			stopping := make(chan struct{})
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") != "0" || first == "/ahead" {
					if begun.Add(1) == 3 {
						close(stopping)
					}
					<-stopping
					if MayClose(r.Context()) {
						w.Header().Set("Connection", "close")
					}
				}
				_, _ = io.WriteString(w, r.Header.Get("Id"))
			})
			c := dial(t, address)
			var stream strings.Builder
			for i, path := range []string{first, "/ahead", "/ahead", "/ahead", "/one", "/ahead"} {
				if first == "/ahead" && i == 3 {
					path = "/one"
				}
				fmt.Fprintf(&stream, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", path, i)
			}
			_, err := io.WriteString(c, stream.String())
			is.NoErr(err)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			reader := bufio.NewReader(c)
			answers := 0
			for {
				a, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(a.Body)
				is.NoErr(err)
				is.Equal(string(body), fmt.Sprint(answers))
				answers++
			}
			want := 4
			if first == "/ahead" {
				want = 3
			}
			is.Equal(answers, want)
			is.Equal(int(begun.Load()), 3)
		})
	}
}

// TestFirstRequestOfAConnection checks that only the first request of each connection counts as
// the first, also if later ones are pipelined.
func TestFirstRequestOfAConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, IsFirst(r)) })
	for range 2 {
		c, err := net.Dial("tcp4", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		request := "GET /ahead HTTP/1.1\r\nHost: shop.example\r\n\r\n"
		_, err = io.WriteString(c, request+request+request)
		is.NoErr(err)
		reader := bufio.NewReader(c)
		for _, want := range []string{"true", "false", "false"} {
			answer, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(string(body), want)
		}
	}
}

// TestRequestsWithoutMemoryWaitForTheirTurn checks that pipelined requests for which there is no memory are
// served all the same, one after the other.
func TestRequestsWithoutMemoryWaitForTheirTurn(t *testing.T) {
	is := is.New(t)
	account := &heads.Account{Memory: 1}
	var running, most atomic.Int64
	address := serveWith(t, account, func(w http.ResponseWriter, _ *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		w.WriteHeader(http.StatusNoContent)
	})
	c := dial(t, address)
	const count = 30
	_, err := io.WriteString(c, strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", count))
	is.NoErr(err)
	reader := bufio.NewReader(c)
	for range count {
		answer, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusNoContent)
	}
	is.Equal(most.Load(), int64(1))
	is.Equal(account.Held(), int64(0))
}

// TestPipelinedRequestsAreReleased checks that nothing stays counted when a client leaves while its
// requests are being served.
func TestPipelinedRequestsAreReleased(t *testing.T) {
	is := is.New(t)
	account := &heads.Account{Memory: 64 << 20}
	var begun atomic.Int64
	address := serveWith(t, account, func(_ http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		<-r.Context().Done()
	})
	c := dial(t, address)
	_, err := io.WriteString(c, strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", 30))
	is.NoErr(err)
	waitFor(t, func() bool { return begun.Load() >= maxAhead })
	is.True(account.Held() > 0)
	_ = c.Close()
	waitFor(t, func() bool { return account.Held() == 0 })
}

// TestTakenAnswersAreNotKept guards against connections that hold answers, with their requests, after
// they were written.
func TestTakenAnswersAreNotKept(t *testing.T) {
	is := is.New(t)
	r, err := http.NewRequest(http.MethodGet, "/ahead", nil)
	is.NoErr(err)
	taken := &answer{request: r}
	list := []*answer{taken, {request: r}, {request: r}}
	c := &Conn{ahead: list}
	is.Equal(c.takeAhead(r), taken)
	is.Equal(len(c.ahead), 2)
	is.True(!slices.Contains(list, taken))
}

// TestRunningRequestsStayCounted guards against counting requests as gone while their handlers still run,
// after their clients have left.
func TestRunningRequestsStayCounted(t *testing.T) {
	is := is.New(t)
	account := &heads.Account{Memory: 64 << 20}
	end := make(chan struct{})
	var begun atomic.Int64
	address := serveWith(t, account, func(http.ResponseWriter, *http.Request) {
		begun.Add(1)
		<-end
	})
	c := dial(t, address)
	_, err := io.WriteString(c, strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", maxAhead))
	is.NoErr(err)
	waitFor(t, func() bool { return begun.Load() >= maxAhead })
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	is.True(account.Held() >= (maxAhead-1)*aheadSize)
	close(end)
	waitFor(t, func() bool { return account.Held() == 0 })
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time")
		}
	}
}
