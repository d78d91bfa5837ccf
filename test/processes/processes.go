// Package processes runs boxes as separate processes, with settings like those on the users'
// machines, for tests that inject faults from outside. It kills only processes that it
// started, by their process ids.
package processes

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stoneworks/stoneworks/pkg/topology"
	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/machines"
)

// Ports that every box listens on, and the timing of readiness checks.
const (
	portClients   = 8101
	portReady     = 8104
	portDirectory = 8105
	readyPoll     = 20 * time.Millisecond
	readyCallTime = 500 * time.Millisecond
)

// Options are the settings that all boxes of a run share.
type Options struct {
	// Bin is the directory of the programs, Dir that of the settings and logs.
	Bin, Dir string
	// Network is the first three octets of the boxes' addresses, such as "127.94.7".
	Network string
	// Store is the address of the platform's store.
	Store string
	// Zones are the zones of the deployment; nil means machines.Zones.
	Zones []topology.Zone
	// CutLinks runs a daemon whose links to backend servers can be cut, with CutBoxes also those to
	// other boxes.
	CutLinks, CutBoxes bool
	// Drain, Contact and Grace are the durations under bounds in the settings.
	Drain, Contact, Grace time.Duration
	// MemoryMB and Descriptors are the sizes of the machine; 0 leaves them unknown.
	MemoryMB, Descriptors int
}

// Box is a box that runs as a process. It can be started again after the process has exited.
type Box struct {
	Options
	Name string
	IP   string
	Zone string

	mu          sync.Mutex
	command     *exec.Cmd
	exited      chan struct{}
	incarnation int
	// cut names the cut from all backend servers, and cutHosts are the IP addresses that the box is
	// cut off from besides.
	cut      string
	cutHosts []string
	// exits are the times at which processes of the box exited.
	exits []time.Time
}

const settingsText = `box: %[1]s
zone: %[2]s
log_format: json
listen: {callers: "%[3]s:8101", peers: "%[3]s:8102", admin: "%[3]s:8103", ready: "%[3]s:8104", directory: "%[3]s:8105"}
seeds: ["%[4]s.1:8102", "%[4]s.2:8102"]
machine: {memory_mb: %[9]d, descriptors: %[10]d}
platform: {protocol: objects, address: "%[5]s", rollouts: true}
lookup_ttl: 2s
bounds: {contact: %[6]s, drain: %[7]s, grace: %[8]s, cold_overage: 1.5, cold_slack: 5, max_shift: 0.15}
zones:
`

// NewBox writes the settings file of a box. It does not start the box.
func NewBox(o Options, zone string, number int) (*Box, error) {
	b := &Box{Options: o, Name: fmt.Sprintf("box-%d", number), IP: fmt.Sprintf("%s.%d", o.Network, number), Zone: zone}
	text := fmt.Sprintf(settingsText, b.Name, zone, b.IP, o.Network, o.Store, o.Contact, o.Drain, o.Grace, o.MemoryMB, o.Descriptors)
	zones := o.Zones
	if zones == nil {
		zones = machines.Zones
	}
	for _, z := range zones {
		text += fmt.Sprintf("  - {zone: %s, region: %s}\n", z.Zone, z.Region)
	}
	return b, os.WriteFile(b.settingsPath(), []byte(text), 0o600)
}

// program returns the name of the daemon.
func (b *Box) program() string {
	if b.CutLinks {
		return "stoneworksd-links"
	}
	return "stoneworksd"
}

// linksPath returns the file that holds the box's cut.
func (b *Box) linksPath() string { return filepath.Join(b.Dir, b.Name+".links") }

// CutFromServers cuts the box off from all backend servers, or restores its links if the name is
// empty; see machines.Cuts. The options need CutLinks.
func (b *Box) CutFromServers(cut string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	return b.writeLinks()
}

// CutFromHosts silences the links to servers and boxes at these IP addresses, and restores the links
// to all others. A cut from all servers takes its place meanwhile. The options need CutLinks and
// CutBoxes.
func (b *Box) CutFromHosts(hosts []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutHosts = hosts
	return b.writeLinks()
}

// writeLinks replaces the file of the links as a whole, since the daemon may read it at any time. The
// caller holds the lock.
func (b *Box) writeLinks() error {
	text := b.cut
	if text == "" && len(b.cutHosts) > 0 {
		text = "hanging " + strings.Join(b.cutHosts, " ")
	}
	written := b.linksPath() + ".new"
	if err := os.WriteFile(written, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(written, b.linksPath())
}

func (b *Box) settingsPath() string { return filepath.Join(b.Dir, b.Name+".yaml") }

// Clients returns the address at which the box serves clients.
func (b *Box) Clients() string { return fmt.Sprintf("%s:%d", b.IP, portClients) }

// starter returns a channel whose functions run on one OS thread that does not exit. The
// kernel sends the death signal when the thread that started the process exits, not only when
// the whole parent process does (see prctl(2), PR_SET_PDEATHSIG).
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

// startWithDeathSignal starts a process that is killed when this one exits for any reason,
// including SIGKILL.
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

// checkAddresses returns an *addresses.InUseError if another process listens at an address of
// the box.
func (b *Box) checkAddresses() error {
	for port := portClients; port <= portDirectory; port++ {
		if err := addresses.CheckFree(fmt.Sprintf("%s:%d", b.IP, port)); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process, which is killed when this process exits. Its log is appended to
// that of earlier incarnations. The first start returns an *addresses.InUseError if an address
// of the box is in use.
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
	command := exec.Command(filepath.Join(b.Bin, b.program()), "--config", b.settingsPath())
	command.Env = append(os.Environ(), "STONEWORKS_LINKS="+b.linksPath())
	if b.CutBoxes {
		command.Env = append(command.Env, "STONEWORKS_CUT_BOXES=1")
	}
	command.Stdout, command.Stderr = log, log
	if err := startWithDeathSignal(command); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		b.mu.Lock()
		b.exits = append(b.exits, time.Now())
		b.mu.Unlock()
		close(exited)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.command, b.exited = command, exited
	b.incarnation++
	return nil
}

// Incarnation returns how often the box has been started: 0 before the first start, 1 after.
func (b *Box) Incarnation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// Process returns the process id of the current incarnation. It may be called after the first start.
func (b *Box) Process() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.command.Process.Pid
}

// PeakMemoryMB returns the largest resident memory that the current incarnation has had, in MB.
func (b *Box) PeakMemoryMB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.Process()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, &EndedError{Box: b.Name}
	}
	kB, err := strconv.Atoi(fields[0])
	return kB >> 10, err
}

// EndedError is returned for what a process that has ended no longer tells.
type EndedError struct{ Box string }

// Error implements error.
func (e *EndedError) Error() string { return "the process of " + e.Box + " has ended" }

// Signal sends the process a signal; it does nothing before the first start.
func (b *Box) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.command != nil {
		_ = b.command.Process.Signal(s)
	}
}

// Exited returns a channel that is closed when the current incarnation has exited, or nil
// before the first start.
func (b *Box) Exited() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exited
}

// Exits returns the times at which processes of the box exited.
func (b *Box) Exits() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.exits)
}

// Kill kills the process if it still runs, and waits until it has exited.
func (b *Box) Kill() {
	if b.Exited() == nil {
		return
	}
	b.Signal(syscall.SIGKILL)
	<-b.Exited()
}

// Ready reports whether the box's readiness endpoint answers with status 200.
func (b *Box) Ready() bool {
	client := http.Client{Timeout: readyCallTime}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", b.IP, portReady))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// NotReadyError is returned when a box does not become ready in time.
type NotReadyError struct{ Box string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Box + " did not become ready" }

// WaitReady waits until the box is ready. It returns a *NotReadyError if that takes longer
// than within.
func (b *Box) WaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyPoll) {
		if b.Ready() {
			return nil
		}
	}
	return &NotReadyError{Box: b.Name}
}
