// Package processes runs boxes in the shape of the users' machines as separate
// processes, for tests that strike them from outside. It ends only processes
// that it started, by their ids.
package processes

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/machines"
)

// Ports of every box.
const (
	portClients   = 8101
	portReady     = 8104
	portDirectory = 8105
	readyPoll     = 20 * time.Millisecond
	readyCallTime = 500 * time.Millisecond
)

// Options say where and how boxes run.
type Options struct {
	// Bin holds the programs, Dir takes settings and logs.
	Bin, Dir string
	// Network is the first three numbers of the boxes' addresses.
	Network string
	// Store is the address of the platform's store.
	Store string
	// Drain, Contact and Grace are the bounds of the settings.
	Drain, Contact, Grace time.Duration
}

// Box is a box as a process. It may be started again after its end.
type Box struct {
	Options
	Name string
	IP   string
	Zone string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	incarnation    int
}

const settingsText = `box: %[1]s
zone: %[2]s
log_format: json
listen: {callers: "%[3]s:8101", peers: "%[3]s:8102", admin: "%[3]s:8103", ready: "%[3]s:8104", directory: "%[3]s:8105"}
seeds: ["%[4]s.1:8102", "%[4]s.2:8102"]
platform: {protocol: objects, address: "%[5]s", rollouts: true}
lookup_ttl: 2s
bounds: {contact: %[6]s, drain: %[7]s, grace: %[8]s, cold_overage: 1.5, cold_slack: 5, max_shift: 0.15}
zones:
`

// NewBox writes the settings of a box, which does not run yet.
func NewBox(o Options, zone string, number int) (*Box, error) {
	b := &Box{Options: o, Name: fmt.Sprintf("box-%d", number), IP: fmt.Sprintf("%s.%d", o.Network, number), Zone: zone}
	text := fmt.Sprintf(settingsText, b.Name, zone, b.IP, o.Network, o.Store, o.Contact, o.Drain, o.Grace)
	for _, z := range machines.Zones {
		text += fmt.Sprintf("  - {zone: %s, region: %s}\n", z.Zone, z.Region)
	}
	return b, os.WriteFile(b.settingsPath(), []byte(text), 0o600)
}

func (b *Box) settingsPath() string { return filepath.Join(b.Dir, b.Name+".yaml") }

// Clients returns the address that serves clients.
func (b *Box) Clients() string { return fmt.Sprintf("%s:%d", b.IP, portClients) }

// starter starts processes from one thread that does not end: a process that is to end
// with this one ends with the thread that started it (see prctl(2), PR_SET_PDEATHSIG).
var starter = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// startWithDeathSignal starts a process that is killed when this one ends, however it does.
func startWithDeathSignal(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	starter() <- func() {
		defer close(done)
		err = c.Start()
	}
	<-done
	return err
}

// checkAddresses reports an address of the box that is taken. The error is an
// *addresses.HeldError.
func (b *Box) checkAddresses() error {
	for port := portClients; port <= portDirectory; port++ {
		if err := addresses.CheckFree(fmt.Sprintf("%s:%d", b.IP, port)); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process, which ends with this one. Its log is appended to that of
// earlier lives. The error of a first start may be an *addresses.HeldError.
func (b *Box) Start() error {
	if b.Incarnation() == 0 {
		if err := b.checkAddresses(); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(b.Dir, b.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(b.Bin, "stoneworksd"), "--config", b.settingsPath())
	command.Stdout, command.Stderr = log, log
	if err := startWithDeathSignal(command); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.command, b.exited = command, exited
	b.incarnation++
	return nil
}

// Incarnation tells the lives of a box apart, from 1.
func (b *Box) Incarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// Signal sends the process a signal, by its own id.
func (b *Box) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.command != nil {
		_ = b.command.Process.Signal(s)
	}
}

// Exited is closed when the present life ends.
func (b *Box) Exited() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exited
}

// Kill kills the process if it still runs, and waits for its end.
func (b *Box) Kill() {
	if b.Exited() == nil {
		return
	}
	b.Signal(syscall.SIGKILL)
	<-b.Exited()
}

// Ready reports whether the box says that it is ready.
func (b *Box) Ready() bool {
	client := http.Client{Timeout: readyCallTime}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", b.IP, portReady))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// NotReadyError says that a box did not become ready.
type NotReadyError struct{ Box string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Box + " did not become ready" }

// WaitReady waits until the box is ready. The error is a *NotReadyError.
func (b *Box) WaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyPoll) {
		if b.Ready() {
			return nil
		}
	}
	return &NotReadyError{Box: b.Name}
}
