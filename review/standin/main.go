// Command standin plays the scripts of this review: it starts the project's boxes as processes, and a
// store, upstreams and clients as stand-ins, and checks one rule on what clients and upstreams see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not be played. With
// TROUBLE=0 in the environment it plays the case without the disruption.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// longest bounds a play.
const longest = 100 * time.Second

// play is one play of a case.
type play struct {
	store     *store
	upstreams []*upstream
	boxes     []*box
	folder    string
	record    io.Writer
	// isTrouble is set if the disruption is played.
	isTrouble bool
}

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]struct {
	work        time.Duration
	answerBytes int
	play        func(p *play) (isBroken bool, err error)
}{
	"early-answer": {50 * time.Millisecond, 400_000, playEarlyAnswer},
	"timeout":      {time.Second, 2_000, playTimeout},
}

func main() {
	// Boxes end with the thread that has started them.
	runtime.LockOSThread()
	os.Exit(playCase(os.Args[1:]))
}

func playCase(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitNotPlayed
	}
	one, ok := cases[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", args[0])
		return exitNotPlayed
	}
	record, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer func() { _ = record.Close() }()
	p := &play{record: record, isTrouble: os.Getenv("TROUBLE") != "0"}
	defer p.end()
	p.endOnSignal()
	if err := p.prepare(args[1], one.work, one.answerBytes); err != nil {
		return p.notPlayed(err)
	}
	isBroken, err := one.play(p)
	switch {
	case err != nil:
		return p.notPlayed(err)
	case isBroken:
		p.note("the rule was broken")
		return exitBroken
	}
	p.note("the rule held")
	return exitHeld
}

// note writes a line to the record and to standard output.
func (p *play) note(format string, values ...any) {
	text := fmt.Sprintf(format+"\n", values...)
	_, _ = io.WriteString(p.record, text)
	fmt.Print(text)
}

func (p *play) notPlayed(err error) int {
	p.note("the case could not be played: %v", err)
	return exitNotPlayed
}

// prepare starts the deployment, and waits until all boxes are in touch.
func (p *play) prepare(root string, work time.Duration, answerBytes int) (err error) {
	if p.folder, err = os.MkdirTemp("", "stoneworks-review-"); err != nil {
		return err
	}
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	if p.store, err = newStore(network + ".200"); err != nil {
		return err
	}
	p.configure(1, 2500)
	for n := range 2 * len(zones) {
		u, err := newUpstream(network+".100", fmt.Sprintf("i-%08x", 0x51a0+n), zones[n%len(zones)].zone, 3, work, answerBytes)
		if err != nil {
			return err
		}
		p.upstreams = append(p.upstreams, u)
		p.store.put("servers", u.id, u.entry(service))
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return err
	}
	if p.boxes, err = startBoxes(root, p.folder, network, p.store.address); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	return nil
}

const service = "kafi81c"

// configure writes a configuration to the store, with the time-out of its only route.
func (p *play) configure(version, timeoutMs int) {
	p.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"services": []map[string]any{{
			"name": service, "health-path": "/health", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 11.0,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"hosts": []map[string]any{{"host": host, "paths": []map[string]any{{
			"name": "r-2ctnfzs", "path-prefix": "/fiti832/ti23/", "kind": "upload", "timeout-ms": timeoutMs, "target-latency-ms": 600,
			"priority": 1, "max-attempts": 2, "session-affinity": true, "service": service,
		}}}},
	})
}

// endOnSignal ends the boxes if this process is told to end, or takes too long.
func (p *play) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		reason := "it was told to end"
		select {
		case <-signals:
		case <-time.After(longest):
			reason = "it took too long"
		}
		p.note("the case could not be played: %s", reason)
		p.end()
		os.Exit(exitNotPlayed)
	}()
}

// end ends all processes and removes the temporary folder.
func (p *play) end() {
	for _, b := range p.boxes {
		b.stop()
	}
	if p.folder != "" {
		_ = os.RemoveAll(p.folder)
	}
}
