package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the zones of the deployment and their regions, as on the sheet of sps-gateway.
var zones = []struct{ zone, region string }{
	{"ahd-navrang", "ahmedabad"}, {"srt-adajan", "surat"}, {"vdr-alkapuri", "vadodara"},
	{"ahd-naroda", "ahmedabad"}, {"srt-udhna", "surat"}, {"vdr-makarpura", "vadodara"},
}

// Bounds of the deployment.
const (
	contact   = 4 * time.Second
	configure = 2500 * time.Millisecond
	startTime = 20 * time.Second
)

// The ports of every box. The address for figures is that of the settings' template.
const (
	portFront     = 8381
	portControl   = 8382
	portDirectory = 8383
	portReady     = 8388
	portFigures   = 9100
)

// settingsText is what the platform makes of the project's template. The arguments are the box, its
// zone, its address, the network and the store's address.
const settingsText = `box: %[1]s
zone: %[2]s
log_format: json
machine:
  cores: 0.32
  link_mbps: 1000.0
  memory_mb: 284
  descriptors: 4100
listen:
  callers: %[3]s:8381
  peers: %[3]s:8382
  admin: %[3]s:9100
  ready: %[3]s:8388
  directory: %[3]s:8383
seeds: ["%[4]s.1:8382","%[4]s.2:8382","%[4]s.3:8382"]
platform:
  protocol: objects
  address: %[5]s
lookup_ttl: 5s
bounds:
  contact: 4000ms
  drain: 2500ms
  grace: 6s
  retry_ratio: 0.2
  retry_slack: 62
  retry_window: 10s
  cold_overage: 1.5
  cold_slack: 5
  max_shift: 0.15
zones:
`

// box is a box of the system, as a process.
type box struct {
	name  string
	ip    string
	log   *os.File
	start *exec.Cmd
}

// front returns the address for clients.
func (b *box) front() string { return fmt.Sprintf("%s:%d", b.ip, portFront) }

// freeNetwork returns the first three octets of loopback addresses at which no box's port is taken.
func freeNetwork() (string, error) {
	for try := range 50 {
		network := fmt.Sprintf("127.%d.%d", 100+try, 1+os.Getpid()%250)
		if isFree(network) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(network string) bool {
	for n := range zones {
		for _, port := range []int{portFront, portControl, portDirectory, portReady, portFigures} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, n+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startBoxes starts one box in each zone with the command of the deploy file, and waits until all are
// ready. root is the repository, folder a temporary one.
func startBoxes(root, folder, network, storeAddress string) (boxes []*box, err error) {
	for n, z := range zones {
		b := &box{name: "edge-" + z.zone + "-1", ip: fmt.Sprintf("%s.%d", network, n+1)}
		boxes = append(boxes, b)
		text := fmt.Sprintf(settingsText, b.name, z.zone, b.ip, network, storeAddress)
		for _, other := range zones {
			text += fmt.Sprintf("  - zone: %s\n    region: %s\n", other.zone, other.region)
		}
		path := filepath.Join(folder, b.name+".conf")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return boxes, err
		}
		if b.log, err = os.Create(filepath.Join(folder, b.name+".log")); err != nil {
			return boxes, err
		}
		b.start = exec.Command("target/stoneworksd")
		b.start.Dir = root
		b.start.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STONEWORKS_SETTINGS=" + path}
		b.start.Stdout, b.start.Stderr = b.log, b.log
		// The process ends with this one, whose main thread starts all of them.
		b.start.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := b.start.Start(); err != nil {
			return boxes, err
		}
	}
	for _, b := range boxes {
		if err := b.waitReady(); err != nil {
			return boxes, err
		}
	}
	return boxes, nil
}

func (b *box) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", b.ip, portReady), nil)
		if err != nil {
			return err
		}
		if answer, err := http.DefaultClient.Do(request); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", b.name)
}

// stop ends the process.
func (b *box) stop() {
	if b.start == nil || b.start.Process == nil {
		return
	}
	_ = b.start.Process.Kill()
	_ = b.start.Wait()
	_ = b.log.Close()
}

// logLine returns the first line of the boxes' logs that names the request, "" if there is none.
func logLine(folder string, request string) string {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return ""
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"`+request+`"`) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}
