package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/platform"
)

// BackendConfig is the configuration of one backend server.
type BackendConfig struct {
	Name        string `json:"name"`
	Listen      string `json:"listen"`
	ServiceMS   int    `json:"service_ms"`
	Connections int    `json:"connections"`
}

// ProcessConfig is the configuration of one process, read from a JSON file.
type ProcessConfig struct {
	// Platform is the address that serves the platform; empty if the process runs none.
	Platform string         `json:"platform,omitempty"`
	Boxes    []platform.Box `json:"boxes,omitempty"`
	// Admin is the address that serves the backend servers' records and takes their control.
	Admin    string          `json:"admin,omitempty"`
	Backends []BackendConfig `json:"backends,omitempty"`
}

// Main runs the platform and the backend servers of a configuration file until the process is
// killed. It returns the exit code if that fails.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) != 1 {
		fmt.Fprintln(stderr, "usage: stoneworks-standin CONFIG.json")
		return 2
	}
	text, err := os.ReadFile(args[0])
	var c ProcessConfig
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	if err := c.run(stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// run starts everything configured, prints "ready" and serves until the listeners fail.
func (c *ProcessConfig) run(stdout io.Writer) error {
	wg := conc.NewWaitGroup()
	serve := func(address string, handle func(net.Listener)) error {
		l, err := net.Listen("tcp", address)
		if err == nil {
			wg.Go(func() { handle(l) })
		}
		return err
	}
	if c.Platform != "" {
		p := NewPlatform(c.Boxes)
		if err := serve(c.Platform, func(l net.Listener) { _ = http.Serve(l, p) }); err != nil {
			return err
		}
	}
	backends := map[string]*Backend{}
	for _, b := range c.Backends {
		backend := NewBackend(b.Name, time.Duration(b.ServiceMS)*time.Millisecond, b.Connections)
		backends[b.Name] = backend
		if err := serve(b.Listen, backend.Serve); err != nil {
			return err
		}
	}
	if c.Admin != "" {
		if err := serve(c.Admin, func(l net.Listener) { _ = http.Serve(l, backendsAdmin(backends)) }); err != nil {
			return err
		}
	}
	fmt.Fprintln(stdout, "ready")
	wg.Wait()
	return nil
}

// backendsAdmin serves GET /records, the records of all backend servers, and POST
// /control?name=NAME, which changes the behaviour of one.
func backendsAdmin(backends map[string]*Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		records := []Record{}
		for _, b := range backends {
			records = append(records, b.Snapshot())
		}
		reply(w, http.StatusOK, records)
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		b := backends[r.URL.Query().Get("name")]
		var c BackendControl
		if b == nil || json.NewDecoder(r.Body).Decode(&c) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		b.Control(c)
		reply(w, http.StatusOK, nil)
	})
	return mux
}
