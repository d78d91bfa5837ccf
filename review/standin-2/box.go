package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machineSize is the size of a machine as the settings give it.
type machineSize struct {
	cores       float64
	memoryMB    int
	descriptors int
	linkMbps    int
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// settingsText is platform/settings.yaml.tmpl as the platform fills it in.
const settingsText = `box: %[1]s
zone: %[2]s
log_format: json
machine:
  cores: %[3]v
  link_mbps: %[4]d
  memory_mb: %[5]d
  descriptors: %[6]d
listen:
  callers: %[7]s:8381
  peers: %[7]s:8382
  admin: %[7]s:9100
  ready: %[7]s:8388
  directory: %[7]s:8383
seeds: [%[8]s]
platform:
  protocol: objects
  address: %[9]s
lookup_ttl: 5s
bounds:
  contact: 4000ms
  drain: 2500ms
  grace: 6s
  retry_ratio: 0.2
  retry_slack: 64
  retry_window: 10s
  cold_overage: 1.5
  cold_slack: 5
  max_shift: 0.15
zones:
  - zone: dkr-plateau
    region: dakar
  - zone: dkr-almadies
    region: dakar
`

// box is a process of the system and the part of the platform that starts it.
type box struct {
	name, ip string
	size     machineSize
	dir      string
	program  string
	// ready is a connection that the platform keeps for its questions.
	ready *http.Client

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// ends are the times at which the process has ended, with why.
	ends []string
	// peakKB is the largest resident memory that was seen.
	peakKB  int
	stopped bool
	// asked is how often the platform has asked whether the process is ready, and answered how often it
	// was.
	asked, answered int
}

// newBox writes the settings of a box. seeds are the IP addresses of the boxes that the settings name.
func newBox(dir, program, name, zone, ip string, size machineSize, store string, seeds []string) (*box, error) {
	b := &box{name: name, ip: ip, size: size, dir: dir, program: program, ready: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}}
	var list []string
	for _, s := range seeds {
		list = append(list, strconv.Quote(s+":8382"))
	}
	text := fmt.Sprintf(settingsText, name, zone, size.cores, size.linkMbps, size.memoryMB, size.descriptors, ip, strings.Join(list, ","), store)
	return b, os.WriteFile(b.settings(), []byte(text), 0o600)
}

// starter runs functions on one thread that does not end: the kernel sends the death signal when the
// thread that started a process ends.
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

func startOnThread(c *exec.Cmd) (err error) {
	done := make(chan struct{})
	starter() <- func() {
		defer close(done)
		err = c.Start()
	}
	<-done
	return err
}

func (b *box) settings() string { return filepath.Join(b.dir, b.name+".yaml") }

// start starts the process, which is killed when this one ends.
func (b *box) start() error {
	log, err := os.OpenFile(filepath.Join(b.dir, b.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(b.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STONEWORKS_SETTINGS=" + b.settings()}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(c); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	b.mu.Lock()
	b.process, b.exited = c.Process, exited
	b.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process for good.
func (b *box) kill() {
	b.mu.Lock()
	b.stopped = true
	process, exited := b.process, b.exited
	b.mu.Unlock()
	if process != nil {
		_ = process.Kill()
		<-exited
	}
}

// limitMemory kills the process once it takes more memory than its machine has, as the platform does, and
// starts it again. It returns when the context ends.
func (b *box) limitMemory(ctx context.Context, since time.Time) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		b.mu.Lock()
		process, exited, stopped := b.process, b.exited, b.stopped
		b.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-exited:
		default:
			used := residentKB(process.Pid)
			b.mu.Lock()
			b.peakKB = max(b.peakKB, used)
			b.mu.Unlock()
			if used <= b.size.memoryMB<<10 {
				continue
			}
			_ = process.Kill()
			<-exited
			b.noteEnd(since, fmt.Sprintf("killed by the platform, %d MB of memory in use, the machine has %d MB", used>>10, b.size.memoryMB))
			time.Sleep(restartDelay)
			if ctx.Err() == nil {
				_ = b.start()
			}
			continue
		}
		b.noteEnd(since, "ended by itself")
		time.Sleep(restartDelay)
		if ctx.Err() == nil {
			_ = b.start()
		}
	}
}

func (b *box) noteEnd(since time.Time, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends = append(b.ends, fmt.Sprintf("%7.3f s  %s: %s", time.Since(since).Seconds(), b.name, why))
}

// residentKB returns the resident memory of a process without that of files, in KB; 0 if it has ended.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "RssAnon:")
	if !found {
		return 0
	}
	kB, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kB
}

// openDescriptors returns how many descriptors the process has open.
func (b *box) openDescriptors() int {
	b.mu.Lock()
	process := b.process
	b.mu.Unlock()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// isReady asks the process whether it is ready, on a connection that is kept.
func (b *box) isReady() bool {
	answer, err := b.ready.Get("http://" + b.ip + ":8388/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// askReady asks every second until the context ends.
func (b *box) askReady(ctx context.Context) {
	for ctx.Err() == nil {
		isReady := b.isReady()
		b.mu.Lock()
		b.asked++
		if isReady {
			b.answered++
		}
		b.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// questions returns how often the platform has asked, and how often the process was ready.
func (b *box) questions() (asked, ready int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked, b.answered
}

// awaitReady waits until the process is ready.
func (b *box) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if b.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", b.name)
}

// dial opens a client's connection to a box.
func (b *box) dial(from string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return d.Dial("tcp4", b.ip+":8381")
}
