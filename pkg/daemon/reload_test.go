package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/clock"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/node"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/platform"
)

const settingsText = `box: box-1
zone: east-a
listen: {callers: "127.0.0.1:8101", peers: "127.0.0.1:8102", admin: "127.0.0.1:8103", ready: "127.0.0.1:8104", directory: "127.0.0.1:8105"}
seeds: [%s]
platform: {protocol: objects, address: "127.0.0.1:8106"}
zones: [{zone: east-a, region: east}]
`

// lineWriter passes on what a log writes.
type lineWriter chan string

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// TestSettingsAreReloadedWithAndWithoutASignal checks that a box applies its settings file when the
// file has changed and when SIGHUP comes, and keeps what it has if the file is invalid.
func TestSettingsAreReloadedWithAndWithoutASignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(fmt.Sprintf(settingsText, ""))
	s, err := settings.Load(path)
	is.NoErr(err)
	lines := make(lineWriter, 100)
	handler := logging.NewAsyncHandler(lines)
	go handler.Run(t.Context())
	n := node.New(s, platform.Adapter(), handler, clock.New())
	defer n.Stop()
	signals, ended := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		reloadUntilStopped(n, path, signals, logging.For(logging.New(handler, logging.ParseLevel("info")), "daemon"))
		close(ended)
	}()
	expect := func(text string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 3*settingsPoll)
		defer cancel()
		for {
			select {
			case line := <-lines:
				if strings.Contains(line, text) {
					return
				}
			case <-ctx.Done():
				t.Fatalf("no line %q", text)
			}
		}
	}
	time.Sleep(100 * time.Millisecond) // the file is changed after it was first looked at
	write(fmt.Sprintf(settingsText, `"127.0.0.2:8102"`))
	expect("seeds=1")
	write("box: [")
	expect("settings are invalid")
	write(fmt.Sprintf(settingsText, `"127.0.0.2:8102", "127.0.0.3:8102"`))
	signals <- syscall.SIGHUP
	expect("seeds=2")
	signals <- syscall.SIGTERM
	<-ended
}
