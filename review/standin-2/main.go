// Command standin-2 plays the script cases of the second review: it starts boxes as processes, with stand-ins
// for the platform's store, for upstreams and for clients, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// stage is what a case plays on.
type stage struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	network string
	dir     string
	program string
	began   time.Time
	store   *store
	boxes   []*box
	context context.Context

	runs *runLog

	mu     sync.Mutex
	record *os.File
	// sent counts the requests of clients, and ends how they ended, by status; 0 is none.
	sent int
	ends map[int]int
}

// maxTime bounds a run.
const maxTime = 117 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, err error){
	"idle-connections": playIdleConnections,
	"configurations":   playConfigurations,
	"large-answers":    playLargeAnswers,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/stoneworksd", "the program of the system")
	record := flag.String("record", "record.txt", "the file for what was seen")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

func play(name, program, record string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	broken, err := playOn(run, program, record)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

func playOn(run func(s *stage) (bool, error), program, record string) (broken bool, err error) {
	program, err = filepath.Abs(program)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	file, err := os.Create(record)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, began: time.Now(), context: ctx, record: file, runs: newRunLog(), ends: map[int]int{}}
	lock, err := s.reserveNetwork()
	if err != nil {
		return false, err
	}
	defer func() { _ = lock.Close() }()
	defer func() {
		for _, b := range s.boxes {
			b.kill()
		}
	}()
	if s.store, err = newStore(s.ip(10)); err != nil {
		return false, err
	}
	go s.recordCounts()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(s)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		s.writeCounts()
		s.note("rule broken: %v", r.broken)
		return r.broken, r.err
	case <-signals:
		return false, errors.New("ended by a signal")
	case <-time.After(maxTime):
		return false, errors.New("it took too long")
	}
}

// recordCounts writes every second what was sent, answered and run so far.
func (s *stage) recordCounts() {
	for s.context.Err() == nil {
		time.Sleep(time.Second)
		s.writeCounts()
	}
}

func (s *stage) writeCounts() {
	began, answered := s.runs.counts()
	s.mu.Lock()
	line := fmt.Sprintf("%7.3f s  so far: clients sent %d, answers by status (0: none) %v; upstreams began %d, answered %d",
		time.Since(s.began).Seconds(), s.sent, s.ends, began, answered)
	s.mu.Unlock()
	s.write(line)
}

func (s *stage) countSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
}

func (s *stage) countEnd(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[status]++
}

// writeRequest writes how a request ended: what its client got, and whether an upstream has run it.
func (s *stage) writeRequest(method, id string, b *box, answer reply) {
	began, answered := s.runs.state(id)
	s.write(fmt.Sprintf("%7.3f s  %s %s to %s: status %d, error %v; upstream began %v, answered %v",
		time.Since(s.began).Seconds(), method, id, b.name, answer.status, answer.err, began, answered))
}

// reserveNetwork chooses a loopback network that no other run uses.
func (s *stage) reserveNetwork() (net.Listener, error) {
	var last error
	for i := range 200 {
		s.network = fmt.Sprintf("127.88.%d", i)
		lock, err := net.Listen("tcp4", s.ip(254)+":7999")
		if err == nil {
			return lock, nil
		}
		last = err
	}
	return nil, last
}

func (s *stage) ip(host int) string { return fmt.Sprintf("%s.%d", s.network, host) }

// note writes a line to the record and to standard output.
func (s *stage) note(format string, values ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Println(line)
	s.write(line)
}

// write writes a line to the record alone.
func (s *stage) write(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(s.record, line)
}

// addBox adds a box and starts it. The settings of all boxes name the first two as seeds.
func (s *stage) addBox(zone string, size machineSize) (*box, error) {
	number := len(s.boxes) + 1
	b, err := newBox(s.dir, s.program, fmt.Sprintf("edge-%s-%d", zone, number), zone, s.ip(number), size, s.store.address, []string{s.ip(1), s.ip(2)})
	if err != nil {
		return nil, err
	}
	s.boxes = append(s.boxes, b)
	return b, b.start()
}

// host is the host of all routes.
const host = "cubo.example"

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMS             int
}

// configure writes the configuration to the store.
func (s *stage) configure(version int, services []string, routes []route) {
	var paths, list []map[string]any
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": "route" + r.prefix, "path-prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeoutMS, "target-latency-ms": 500,
			"priority": 1, "max-attempts": 2, "session-affinity": true, "service": r.service,
		})
	}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/health", "max-conns": 390, "cold-start-s": 3, "cold-per-s": 11})
	}
	s.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list, "hosts": []map[string]any{{"host": host, "paths": paths}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 16 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
