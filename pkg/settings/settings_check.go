package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/stoneworks/stoneworks/pkg/model"
)

// check checks that the decoded values make sense.
func (d *decoder) check(s *Settings) {
	d.checkName("box", s.Box)
	zones := map[string]bool{}
	for i, z := range s.Zones {
		key := fmt.Sprintf("zones[%d]", i)
		d.checkName(key+".zone", z.Zone)
		d.checkName(key+".region", z.Region)
		if zones[z.Zone] {
			d.fault(key+".zone", fmt.Sprintf("%q stands twice", z.Zone), "each zone once")
		}
		zones[z.Zone] = true
	}
	if !zones[s.Zone] {
		d.fault("zone", fmt.Sprintf("%q", s.Zone), "one of the zones listed under zones")
	}
	d.checkAddresses("listen", s.Listen, s.Platform.Protocol)
	d.checkAddresses("advertise", s.Advertise, "")
	d.checkAddress("platform.address", s.Platform.Address)
	for i, a := range s.Seeds {
		d.checkAddress(fmt.Sprintf("seeds[%d]", i), a)
	}
	for i, b := range s.ClientBlocks {
		key := fmt.Sprintf("client_blocks[%d]", i)
		if _, err := netip.ParsePrefix(b.Prefix); err != nil {
			d.fault(key+".prefix", fmt.Sprintf("%q", b.Prefix), "an IP prefix such as 10.1.0.0/16")
		}
		if !zones[b.Zone] {
			d.fault(key+".zone", fmt.Sprintf("%q", b.Zone), "one of the zones listed under zones")
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		d.fault("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
	}
	switch s.LogFormat {
	case "text", "json":
	default:
		d.fault("log_format", fmt.Sprintf("%q", s.LogFormat), "text or json")
	}
	switch s.Platform.Protocol {
	case ProtocolBoxes, ProtocolObjects:
	default:
		d.fault("platform.protocol", fmt.Sprintf("%q", s.Platform.Protocol), "boxes or objects")
	}
	d.checkBounds(s.Bounds)
	d.checkMachine(s.Machine)
	for _, f := range s.Policy.Check() {
		d.fault("policy."+f.Name, f.Value, f.Allowed)
	}
	d.checkDuration("lookup_ttl", s.LookupTTL, time.Second, time.Hour)
	d.checkDuration("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	d.checkDuration("limits.once_age", s.Limits.OnceAge, time.Second, 24*time.Hour)
	d.checkDuration("limits.queue_wait", s.Limits.QueueWait, 0, time.Minute)
	d.checkInt("limits.header_bytes", s.Limits.HeaderBytes, 1<<10, 1<<20)
	d.checkInt("limits.buffered_body_bytes", s.Limits.BufferedBodyBytes, 0, 16<<20)
	d.checkInt("limits.once_records", s.Limits.OnceRecords, 1, 10_000_000)
}

func (d *decoder) checkName(key, name string) {
	if !model.ValidName(name) {
		d.fault(key, fmt.Sprintf("%q", name), "lower-case letters, digits and '-'")
	}
}

// checkAddresses checks the endpoints. Those that the protocol needs must be present; if the
// protocol is empty, none is needed.
func (d *decoder) checkAddresses(key string, a Addresses, protocol string) {
	for _, e := range []struct{ name, address, neededBy string }{
		{"callers", a.Callers, ""}, {"peers", a.Peers, ""}, {"admin", a.Admin, ""},
		{"operators", a.Operators, ProtocolBoxes},
		{"ready", a.Ready, ProtocolObjects}, {"directory", a.Directory, ProtocolObjects},
	} {
		needed := protocol != "" && (e.neededBy == "" || e.neededBy == protocol)
		if e.address == "" && !needed {
			continue
		}
		d.checkAddress(key+"."+e.name, e.address)
	}
}

// checkMachine checks the resources of the machine.
func (d *decoder) checkMachine(m Machine) {
	if m.Cores < 0 || m.Cores > maxCores {
		d.fault("machine.cores", fmt.Sprint(m.Cores), fmt.Sprintf("0 to %d", maxCores))
	}
	if m.LinkMbps < 0 || m.LinkMbps > maxLinkMbps {
		d.fault("machine.link_mbps", fmt.Sprint(m.LinkMbps), fmt.Sprintf("0 to %d", maxLinkMbps))
	}
	if m.MemoryMB < 0 || m.MemoryMB > maxMemoryMB {
		d.fault("machine.memory_mb", fmt.Sprint(m.MemoryMB), fmt.Sprintf("0 to %d", maxMemoryMB))
	}
	d.checkInt("machine.descriptors", m.Descriptors, 0, maxDescriptors)
}

// These bound the values that the settings may give for a machine.
const (
	maxCores       = 4096
	maxLinkMbps    = 10_000_000
	maxMemoryMB    = 64 << 20
	maxDescriptors = 1 << 30
)

// checkBounds checks the bounds of the fleet.
func (d *decoder) checkBounds(b Bounds) {
	d.checkDuration("bounds.contact", b.Contact, 500*time.Millisecond, time.Hour)
	d.checkDuration("bounds.drain", b.Drain, 100*time.Millisecond, time.Hour)
	d.checkDuration("bounds.grace", b.Grace, time.Second, time.Hour)
	d.checkDuration("bounds.retry_window", b.RetryWindow, time.Second, time.Hour)
	d.checkDuration("bounds.quota_window", b.QuotaWindow, time.Second, time.Hour)
	d.checkDuration("bounds.server_limit_window", b.ServerLimitWindow, time.Second, time.Hour)
	d.checkDuration("bounds.revoke", b.Revoke, 100*time.Millisecond, time.Hour)
	d.checkDuration("bounds.shift_window", b.ShiftWindow, 100*time.Millisecond, time.Hour)
	for _, e := range []struct {
		name        string
		value, most float64
	}{
		{"retry_ratio", b.RetryRatio, 10}, {"retry_slack", b.RetrySlack, 1e9},
		{"cold_overage", b.ColdOverage, 100}, {"cold_slack", b.ColdSlack, 1e9},
		{"max_shift", b.MaxShift, 1},
		{"quota_overage", b.QuotaOverage, 10}, {"quota_slack", b.QuotaSlack, 1e9},
		{"server_limit_overage", b.ServerLimitOverage, 10}, {"server_limit_slack", b.ServerLimitSlack, 1e9},
	} {
		if e.value < 0 || e.value > e.most {
			d.fault("bounds."+e.name, fmt.Sprint(e.value), fmt.Sprintf("0 to %g", e.most))
		}
	}
}

func (d *decoder) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.fault(key, fmt.Sprintf("%q", address), "IP number and port such as 10.0.0.7:7001")
	}
}

func (d *decoder) checkDuration(key string, v, least, most time.Duration) {
	if v < least || v > most {
		d.fault(key, v.String(), fmt.Sprintf("%s to %s", least, most))
	}
}

func (d *decoder) checkInt(key string, v, least, most int) {
	if v < least || v > most {
		d.fault(key, fmt.Sprint(v), fmt.Sprintf("%d to %d", least, most))
	}
}
