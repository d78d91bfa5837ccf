package load

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/stoneworks/stoneworks/test/machines"
)

// process is a box as a process of its own.
type process struct {
	name    string
	ip      string
	zone    string
	command *exec.Cmd
	log     *os.File
}

const settingsText = `box: %[1]s
zone: %[2]s
log_format: json
listen: {callers: "%[3]s:8101", peers: "%[3]s:8102", admin: "%[3]s:8103", ready: "%[3]s:8104", directory: "%[3]s:8105"}
seeds: ["%[4]s.1:8102", "%[4]s.2:8102"]
platform: {protocol: objects, address: "%[5]s"}
lookup_ttl: 2s
bounds: {contact: 3s, drain: 2500ms, grace: 4s, cold_overage: 1.5, cold_slack: 5, max_shift: 0.15}
zones:
`

// start runs a box.
func start(bin, dir, network, store, zone string, number int) (*process, error) {
	p := &process{name: fmt.Sprintf("box-%d", number), ip: fmt.Sprintf("%s.%d", network, number), zone: zone}
	text := fmt.Sprintf(settingsText, p.name, zone, p.ip, network, store)
	for _, z := range machines.Zones {
		text += fmt.Sprintf("  - {zone: %s, region: %s}\n", z.Zone, z.Region)
	}
	path := filepath.Join(dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.log = log
	p.command = exec.Command(filepath.Join(bin, "stoneworksd"), "--config", path)
	p.command.Stdout, p.command.Stderr = log, log
	return p, p.command.Start()
}

// signal sends the process a signal, by its own id.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// end kills the process if it still runs.
func (p *process) end() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	_ = p.log.Close()
}
