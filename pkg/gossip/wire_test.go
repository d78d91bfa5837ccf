package gossip

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"

	"github.com/stoneworks/stoneworks/pkg/packet"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// fullRecord returns a record with all fields set that a box sends about itself.
func fullRecord(box string) Record {
	return Record{
		Box: box, Zone: "brum-digbeth", Clients: "10.1.0.34:8548", Peers: "10.1.0.34:8544",
		Started: 1775555009001108062, Capacity: 640, Sequence: 117, Ready: true, StoreHealthy: true, Serving: true,
		ConfirmedAgo: 2400, ListConfirmedAgo: 1250, Use: utilization.Busy,
		Versions: map[string]objects.Version{
			"config": {Revision: 227, Digest: 4012345678}, "servers": {Revision: 231, Digest: 312345678}, "evacuations": {Revision: 227},
		},
	}
}

func TestMessagesSurviveTheWire(t *testing.T) {
	is := is.New(t)
	m := &Message{
		From: fullRecord("edge-1"), Others: []Record{fullRecord("edge-2"), {Box: "edge-3", Leaving: true}},
		Liveness: LivenessRecords{{ID: 1 << 31, Sequence: 117, Flags: FlagReady | FlagSilent}, {ID: 3}}, Ask: []uint32{7, 1 << 30}, Probe: true,
	}
	datagram, err := Wire.Encode(m)
	is.NoErr(err)
	back, err := Wire.Decode(datagram)
	is.NoErr(err)
	is.Equal(back, m)
}

// TestHeartbeatsAreSmall checks the size of a heartbeat. Most of what boxes send between
// regions, where traffic is charged by the byte, is heartbeats; this one takes 328 bytes as
// JSON.
func TestHeartbeatsAreSmall(t *testing.T) {
	is := is.New(t)
	m := &Message{From: fullRecord("edge-brum-digbeth-1")}
	datagram, err := Wire.Encode(m)
	is.NoErr(err)
	text, err := json.Marshal(m)
	is.NoErr(err)
	t.Logf("%d bytes, as JSON %d", len(datagram), len(text))
	is.True(len(datagram) <= 180)
	is.True(len(datagram) < len(text)/2)
}

// TestLivenessRecordsAreSmall checks the size of liveness records. Most of what a heartbeat
// carries about other boxes concerns boxes that the receiver knows already.
func TestLivenessRecordsAreSmall(t *testing.T) {
	is := is.New(t)
	alone, err := Wire.Encode(&Message{From: fullRecord("edge-1")})
	is.NoErr(err)
	m := &Message{From: fullRecord("edge-1"), Liveness: make(LivenessRecords, maxLivenessRecords)}
	datagram, err := Wire.Encode(m)
	is.NoErr(err)
	is.True(len(datagram)-len(alone) <= maxLivenessRecords*livenessRecordSize+2)
}

func TestUseTravelsInLivenessRecords(t *testing.T) {
	is := is.New(t)
	r := fullRecord("edge-1")
	for _, use := range []utilization.Level{utilization.Free, utilization.Busy, utilization.Crowded, utilization.Full} {
		r.Use = use
		var heard Record
		heard.apply(r.livenessRecord())
		is.Equal(heard.Use, use)
		is.True(heard.Ready && heard.StoreHealthy && heard.Serving && !heard.Leaving && !heard.StoreUnanswered)
	}
}

func TestOtherDatagramsAreRefused(t *testing.T) {
	for _, datagram := range [][]byte{nil, {}, {wireVersion}, {wireVersion, 0xff}, []byte(`{"from":{}}`), {wireVersion + 1, 0x92}, {wireVersion - 1, 0x92}} {
		_, err := Wire.Decode(datagram)
		var wire *packet.Error
		if !errors.As(err, &wire) {
			t.Errorf("%q: %v", datagram, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	datagram, err := Wire.Encode(&Message{From: fullRecord("edge-1"), Others: []Record{fullRecord("edge-2")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := Wire.Decode(datagram)
		if err == nil && m == nil {
			t.Fatal("neither a message nor an error")
		}
	})
}
