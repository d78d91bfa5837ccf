package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `box: dakar-a-1
zone: dakar-a
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3", admin: "127.0.0.1:4"}
platform: {address: "127.0.0.1:5"}
zones:
  - {zone: dakar-a, region: dakar}
`

func TestValidSettingsAreParsed(t *testing.T) {
	is := is.New(t)
	s, err := Parse("box.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Advertise.Peers, "127.0.0.1:2")
	is.Equal(s.Limits.OnceRecords, Defaults().Limits.OnceRecords)
}

func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validSettings, "zone: dakar-a\n", "zone: dakar-z\n", 1) +
		"lookup_ttl: soon\nlookups: 5\nlimits:\n  header_bytes: many\n"
	_, err := Parse("box.yaml", []byte(text))
	var faults *Error
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults), 4)
	is.Equal(faults.Faults[0].Line, 7)
	is.Equal(faults.Faults[3].Key, "zone")
	_, err = Parse("box.yaml", []byte(strings.Replace(validSettings, "zone: dakar-a\n", "zone: dakar-z\n", 1)))
	is.True(errors.As(err, &faults))
	is.Equal(faults.Faults[0].Line, 2)
}

func TestMachineIsChecked(t *testing.T) {
	is := is.New(t)
	s, err := Parse("box.yaml", []byte(validSettings+"machine: {cores: 0.16, link_mbps: 10, memory_mb: 184, descriptors: 4100}\n"))
	is.NoErr(err)
	is.Equal(s.Machine, Machine{Cores: 0.16, LinkMbps: 10, MemoryMB: 184, Descriptors: 4100})
	_, err = Parse("box.yaml", []byte(validSettings+"machine: {cores: -1, link_mbps: much, memory_mb: -1, descriptors: -1}\n"))
	var faults *Error
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults), 4)
}

// TestBooleansAreDecoded guards against a box that does not start if its settings contain
// enforce_revocation, which a deployment needs where keys must be revoked in time: the decoder
// had no case for booleans and decoded them as text, which panics.
func TestBooleansAreDecoded(t *testing.T) {
	is := is.New(t)
	s, err := Parse("box.yaml", []byte(validSettings+"bounds: {enforce_revocation: true}\n"))
	is.NoErr(err)
	is.True(s.Bounds.EnforceRevocation)
	for _, invalid := range []string{"yes", "1", "[true]", "~"} {
		_, err = Parse("box.yaml", []byte(validSettings+"bounds: {enforce_revocation: "+invalid+"}\n"))
		var faults *Error
		is.True(errors.As(err, &faults))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: [b, {c: d}]"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Parse("box.yaml", text)
	})
}
