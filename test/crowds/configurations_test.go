package crowds

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// A configuration of some 600 kB, and how often and how fast it changes.
const (
	manyRoutes  = 2500
	changes     = 160
	changePause = 60 * time.Millisecond
	knownTime   = 10 * time.Second
)

// longConfiguration returns the routes of a long configuration. Each version has another time-out.
func longConfiguration(version int) []machines.Route {
	list := append([]machines.Route{}, routes...)
	for i := range manyRoutes {
		list = append(list, machines.Route{Prefix: fmt.Sprintf("/many-%04d/", i), Kind: "safe", Service: "calm", TimeoutMS: 1000 + version})
	}
	return list
}

// TestChangesOfALongConfigurationStayWithinTheMachine guards against boxes that hold former states
// of a configuration, for other boxes or on the way to them, until they are killed for their memory.
func TestChangesOfALongConfigurationStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	boxes := []*stage{s, startBox(t, s.fleet, s.network, 2)}
	version := 1
	for range changes {
		version++
		s.fleet.Configure(version, longConfiguration(version)...)
		time.Sleep(changePause)
	}
	last := machines.Route{Prefix: "/last/", Kind: "safe", Service: "calm", TimeoutMS: 5000}
	s.fleet.Configure(version+1, append(longConfiguration(version+1), last)...)
	for _, b := range boxes {
		b.follows(last.Prefix)
		b.check()
		t.Logf("%s: peak memory %d MB", b.box.Name, b.peakMemoryMB())
	}
}

// follows checks that the box soon serves a route that a configuration has added.
func (s *stage) follows(prefix string) {
	s.t.Helper()
	client := &machines.Client{Address: s.box.Clients()}
	defer client.Close()
	for end := time.Now().Add(knownTime); time.Now().Before(end); time.Sleep(returnPause) {
		if client.Do(http.MethodGet, prefix+"x", fmt.Sprint("f", time.Now().UnixNano()), "", "").Status == http.StatusOK {
			return
		}
	}
	s.t.Errorf("%s does not follow the configuration that adds %s", s.box.Name, prefix)
}
