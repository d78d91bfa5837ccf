package machines

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/trace"
)

// logBuffer collects the log lines of a fleet.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestFailedRequestsAreExplained reproduces the three walks of docs/OPERATIONS.md, each of which
// leads from a failed request's id to its cause by the logs alone.
func TestFailedRequestsAreExplained(t *testing.T) {
	for _, c := range []struct {
		name string
		// causeFailure causes the failure; then a request for target is sent.
		causeFailure func(f *Fleet, s *Server)
		target       string
		status       int
		// causes are texts that the walk must show.
		causes []string
	}{
		{
			name: "refused", target: "/buy/1", status: 503,
			causeFailure: func(f *Fleet, s *Server) {
				f.PutServer(s, "shop", "east-a", "draining", 0)
				waitFor(func() bool { return !f.Boxes[0].Set.HasServers() })
			},
			causes: []string{"backend: server draining", "request: not answered", "reason=no_backend_server"},
		},
		{
			name: "unknown", target: "/buy/1", status: 502,
			causeFailure: func(_ *Fleet, s *Server) {
				s.SetFault(func(*Run) Fault { return CutAnswer })
			},
			causes: []string{"reason=connection_lost", "try1=east-a.1 broken", "sent=true"},
		},
		{
			name: "late", target: "/buy/1", status: 504,
			causeFailure: func(_ *Fleet, s *Server) {
				s.Work = 4 * time.Second
			},
			causes: []string{"reason=timed_out", "try1=east-a.1 late", "timeout_ms=1500"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			f, err := NewFleet(networkOf(t), log)
			is.NoErr(err)
			defer f.Close()
			f.Configure(1, read, buy)
			s, err := f.AddServer("east-a.1", "shop", "east-a", 4, time.Millisecond)
			is.NoErr(err)
			b, err := f.AddBox("east-a")
			is.NoErr(err)
			eventually(t, "ready", b.Node.Ready)
			c.causeFailure(f, s)
			client := &Client{Address: b.Clients}
			defer client.Close()
			is.Equal(client.Do("POST", c.target, "complaint", "", "").Status, c.status)
			eventually(t, "the log contains the request", func() bool { return strings.Contains(log.String(), "complaint") })
			lines, err := trace.Read("box-1", strings.NewReader(log.String()))
			is.NoErr(err)
			way, err := trace.Find(lines, "complaint", 5*time.Second)
			is.NoErr(err)
			var printed strings.Builder
			trace.Print(&printed, way)
			for _, cause := range c.causes {
				if !strings.Contains(printed.String(), cause) {
					t.Errorf("the walk does not show %q:\n%s", cause, printed.String())
				}
			}
		})
	}
}

// waitFor waits until the check succeeds, for 5 s at most.
func waitFor(check func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !check(); {
		time.Sleep(5 * time.Millisecond)
	}
}
