package machines

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestWordsThatNothingReadsAreTold checks that a box logs each unknown header of forwarded answers
// and of refusals, and each unknown field of the store's objects, once and without its value.
func TestWordsThatNothingReadsAreTold(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	f, err := NewFleet(networkOf(t), io.Writer(file))
	is.NoErr(err)
	t.Cleanup(f.Close)
	f.Configure(1, read)
	s, err := f.AddServer("east-a.1", "shop", "east-a", 4, 0)
	is.NoErr(err)
	_, err = f.AddBox("east-a")
	is.NoErr(err)
	eventually(t, "the box is ready", f.Boxes[0].Node.Ready)
	lines := func(word string) int {
		text, err := os.ReadFile(path)
		is.NoErr(err)
		return strings.Count(string(text), `"`+word+`"`)
	}
	s.SetHeader("Server-Colour", "secret")
	send(t, f, 0, 5, 0)
	s.SetHeader("Server-Colour", "")
	s.SetHeader("Server-Pace", "secret")
	s.SetFault(func(*Run) Fault { return Refuse })
	send(t, f, 0, 5, 0)
	f.Store.Put("servers", "east-a.2", map[string]any{
		"service": "shop", "address": s.Address, "zone": "east-a", "slots": 4, "state": "ready", "wants": "secret",
		"cold-remaining-ms": 0, "version": "v1", "call-seq": 1, "born": 7,
	})
	for _, word := range []string{"Server-Colour", "Server-Pace", "servers.wants"} {
		eventually(t, word+" is logged", func() bool { return lines(word) == 1 })
	}
	is.Equal(lines("secret"), 0)
}
