// Package settings reads a box's YAML settings. All of them are checked when the program
// starts: each fault is reported with its line and the allowed values. An unknown key is a
// fault.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

// Settings are the settings of one box.
type Settings struct {
	Box          string           `yaml:"box" required:"true"`
	Zone         string           `yaml:"zone" required:"true"`
	Listen       Addresses        `yaml:"listen" required:"true"`
	Advertise    Addresses        `yaml:"advertise"`
	Platform     Platform         `yaml:"platform" required:"true"`
	Seeds        []string         `yaml:"seeds"`
	Zones        []topology.Zone  `yaml:"zones" required:"true"`
	ClientBlocks []topology.Block `yaml:"client_blocks"`
	LogLevel     string           `yaml:"log_level"`
	LogFormat    string           `yaml:"log_format"`
	LookupTTL    time.Duration    `yaml:"lookup_ttl"`
	Limits       Limits           `yaml:"limits"`
	Bounds       Bounds           `yaml:"bounds"`
	Machine      Machine          `yaml:"machine"`
	// Policy holds the parameters of the box's decisions.
	Policy policy.Policy `yaml:"policy"`
}

// Machine describes the resources of the box's machine; 0 stands for unknown.
type Machine struct {
	// Cores is how many of the processor's cores the box may use; it may be a fraction.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the bandwidth of the machine's network link, in megabits a second.
	LinkMbps float64 `yaml:"link_mbps"`
	// MemoryMB is the memory that the box may use, in megabytes of 2^20 bytes.
	MemoryMB float64 `yaml:"memory_mb"`
	// Descriptors is how many descriptors the box may have open.
	Descriptors int `yaml:"descriptors"`
}

// Protocols of the platform.
const (
	// ProtocolBoxes is the protocol of a platform with an object API and a list of boxes; the
	// box allocates slots and is controlled by operators' calls.
	ProtocolBoxes = "boxes"
	// ProtocolObjects is the protocol of a platform that is only a store of objects, which
	// include the configuration and the backend servers.
	ProtocolObjects = "objects"
)

// Bounds are the limits that the fleet as a whole guarantees.
type Bounds struct {
	// Contact is how long a box may be out of contact with the platform before it is no longer
	// bound by what the platform publishes meanwhile.
	Contact time.Duration `yaml:"contact"`
	// Drain is how long a backend server may still get requests after it was listed as leaving
	// or was no longer listed.
	Drain time.Duration `yaml:"drain"`
	// Grace is how long a stopping box has before it is killed.
	Grace time.Duration `yaml:"grace"`
	// RetryRatio and RetrySlack bound the retries within RetryWindow.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetrySlack  float64       `yaml:"retry_slack"`
	RetryWindow time.Duration `yaml:"retry_window"`
	// ColdOverage and ColdSlack bound the requests to a backend server during its cold start.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// MaxShift bounds the share of requests that change region within
	// ShiftWindow.
	MaxShift    float64       `yaml:"max_shift"`
	ShiftWindow time.Duration `yaml:"shift_window"`
	// QuotaWindow, QuotaOverage and QuotaSlack bound by how much a customer's requests, summed
	// over all boxes, may exceed its limit.
	QuotaWindow  time.Duration `yaml:"quota_window"`
	QuotaOverage float64       `yaml:"quota_overage"`
	QuotaSlack   float64       `yaml:"quota_slack"`
	// ServerLimitWindow, ServerLimitOverage and ServerLimitSlack bound by how much the
	// requests to a backend server, summed over all boxes, may exceed the limit that it names.
	ServerLimitWindow  time.Duration `yaml:"server_limit_window"`
	ServerLimitOverage float64       `yaml:"server_limit_overage"`
	ServerLimitSlack   float64       `yaml:"server_limit_slack"`
	// EnforceRevocation makes a box that may have missed the revocation of a key serve no
	// requests by key, from Revoke after it last knew that its configuration was current.
	EnforceRevocation bool          `yaml:"enforce_revocation"`
	Revoke            time.Duration `yaml:"revoke"`
}

// Addresses are the endpoints of a box, each an IP address and port. Operators is used with
// ProtocolBoxes only, Ready and Directory with ProtocolObjects only.
type Addresses struct {
	Callers   string `yaml:"callers" json:"callers"`
	Peers     string `yaml:"peers" json:"peers"`
	Operators string `yaml:"operators" json:"operators"`
	Admin     string `yaml:"admin" json:"admin"`
	Ready     string `yaml:"ready" json:"ready,omitempty"`
	Directory string `yaml:"directory" json:"directory,omitempty"`
}

// Platform describes how to reach the platform's object API.
type Platform struct {
	Address string        `yaml:"address" required:"true"`
	Timeout time.Duration `yaml:"timeout"`
	// Protocol is ProtocolBoxes or ProtocolObjects.
	Protocol string `yaml:"protocol"`
	// Rollouts says that operators order rollouts of new versions of backend servers through
	// the platform. Without it boxes do not query the platform for such orders.
	Rollouts bool `yaml:"rollouts"`
}

// Limits bounds what a box holds in memory.
type Limits struct {
	// HeaderBytes bounds a request's headers.
	HeaderBytes int `yaml:"header_bytes"`
	// BufferedBodyBytes bounds a body that is held in memory whole, so that it can be sent
	// again or kept as the answer of an idempotency key.
	BufferedBodyBytes int `yaml:"buffered_body_bytes"`
	// OnceRecords bounds how many idempotency keys a box remembers.
	OnceRecords int `yaml:"once_records"`
	// OnceAge is how long an idempotency key is remembered.
	OnceAge time.Duration `yaml:"once_age"`
	// QueueWait bounds how long a request waits for a slot.
	QueueWait time.Duration `yaml:"queue_wait"`
}

// Defaults returns the settings that apply where a file gives none.
func Defaults() Settings {
	return Settings{
		Policy:    policy.Default(),
		LogLevel:  "info",
		LookupTTL: 5 * time.Second,
		LogFormat: "text",
		Platform:  Platform{Timeout: 2 * time.Second, Protocol: ProtocolBoxes},
		Limits: Limits{
			HeaderBytes:       16 << 10,
			BufferedBodyBytes: 64 << 10,
			OnceRecords:       100_000,
			OnceAge:           10 * time.Minute,
			QueueWait:         100 * time.Millisecond,
		},
		Bounds: Bounds{
			Contact:     4 * time.Second,
			Drain:       2500 * time.Millisecond,
			Grace:       6 * time.Second,
			RetryRatio:  0.2,
			RetrySlack:  50,
			RetryWindow: 10 * time.Second,
			ColdOverage: 1,
			ColdSlack:   0,
			MaxShift:    0.1,
			ShiftWindow: 2 * time.Second,
			QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
			ServerLimitWindow: 4 * time.Second, ServerLimitOverage: 0.5, ServerLimitSlack: 5,
			Revoke: 5 * time.Second,
		},
	}
}

// Fault is one problem of a settings file.
type Fault struct {
	// Line is the line in the file, from 1; 0 if the fault has no line.
	Line    int
	Key     string
	Problem string
	Allowed string
}

// Error lists all faults of a settings file.
type Error struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s; allowed: %s", e.File, f.Line, f.Key, f.Problem, f.Allowed))
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is an *Error or that of reading the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of a settings file. The error is an *Error.
func Parse(file string, text []byte) (*Settings, error) {
	s := Defaults()
	d := &decoder{lines: map[string]int{}}
	d.document(text, &s)
	if d.parsed {
		d.check(&s)
	}
	if len(d.faults) > 0 {
		return nil, &Error{File: file, Faults: d.faults}
	}
	s.Advertise = s.Advertise.orElse(s.Listen)
	return &s, nil
}

func (a Addresses) orElse(other Addresses) Addresses {
	pick := func(x, y string) string {
		if x != "" {
			return x
		}
		return y
	}
	return Addresses{
		Callers:   pick(a.Callers, other.Callers),
		Peers:     pick(a.Peers, other.Peers),
		Operators: pick(a.Operators, other.Operators),
		Admin:     pick(a.Admin, other.Admin),
		Ready:     pick(a.Ready, other.Ready),
		Directory: pick(a.Directory, other.Directory),
	}
}
