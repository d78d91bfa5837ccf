package soak

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/stoneworks/stoneworks/pkg/topology"
)

// ================================================================
// The faults and operations of a run. They are drawn from the seed alone, so that a seed can
// be replayed.
// ================================================================

// Kind is a kind of fault or of planned operation.
type Kind string

// The kinds. Kinds of boxes are signals sent to their processes, kinds of links are faults of
// loopback proxies, and kinds of the store and of servers are faults of the stand-ins.
const (
	BoxStop        Kind = "box-stop"
	BoxKill        Kind = "box-kill"
	BoxPause       Kind = "box-pause"
	BoxReload      Kind = "box-reload"
	StoreBusy      Kind = "store-busy"
	StoreMany      Kind = "store-many"
	StoreSilent    Kind = "store-silent"
	StoreReset     Kind = "store-reset"
	StoreForgets   Kind = "store-forgets"
	StoreCut       Kind = "store-cut"
	ServerDrain    Kind = "server-drain"
	ServerCrash    Kind = "server-crash"
	ServerReuse    Kind = "server-reuse"
	ServerCorrupts Kind = "server-spoils"
	LinkDelay      Kind = "link-delay"
	LinkReset      Kind = "link-reset"
	LinkSilent     Kind = "link-silent"
	LinkOneWay     Kind = "link-one-way"
	Configure      Kind = "configure"
	Evacuate       Kind = "evacuate"
	// StoreBlink is a store that does not answer for a short time. StoreMute and LinkMute
	// silence the open connections to the store and to a server for good; new ones work.
	StoreBlink Kind = "store-blink"
	StoreMute  Kind = "store-mute"
	LinkMute   Kind = "link-mute"
	// RequestCrashes is a request that crashes each server that runs it and that clients
	// repeat at all boxes. ServerRestarts is a server that stops and starts again under its
	// id. EntryForeign is server entries written by another writer.
	RequestCrashes Kind = "request-deadly"
	ServerRestarts Kind = "server-reborn"
	EntryForeign   Kind = "entry-foreign"
	// ServerLimited is a server, or all servers of a service, that announce how many requests
	// a second they accept from all boxes together.
	ServerLimited Kind = "server-limited"
	// ServerLeaves is a server that leaves and announces it only in its answers. ServerRests
	// is a server, or all servers of a service, that reject all requests with Retry-After.
	ServerLeaves Kind = "server-leaves"
	ServerRests  Kind = "server-rests"
	// ServiceMoves is a rollout of a service to a new version of its servers, which may be
	// bad.
	ServiceMoves Kind = "service-moves"
	// BoxCut is a box, or most boxes, cut off from all backend servers, while clients, the
	// store and other boxes still reach it.
	BoxCut Kind = "box-cut"
	// RegionsCut is regions whose links to each other's servers and boxes are silent, in one
	// direction or both.
	RegionsCut Kind = "regions-cut"
	// OddHeads is clients whose requests have heads of unusual shapes, some of them unfinished.
	OddHeads Kind = "odd-heads"
	// StoreCopy is a store that comes back from a copy some seconds old.
	StoreCopy Kind = "store-copy"
	// BoxesStop is a planned stop of two boxes at once while clients open connections to them.
	// EarlyAnswers is long uploads that servers answer before they have read them.
	BoxesStop    Kind = "boxes-stop"
	EarlyAnswers Kind = "early-answers"
	// LongConfigurations is a long configuration that changes many times in a row.
	LongConfigurations Kind = "long-configurations"
)

// Catalogue is a list of kinds that a plan draws from. A seed always draws the same plan from
// the same catalogue, so new kinds need a new catalogue.
type Catalogue []Kind

// FirstKinds, SilentKinds, CrashKinds, LimitKinds, FormerKinds, StatusHeaderKinds, LaterKinds,
// MovesKinds, CutKinds, CopyKinds, StopKinds, RegionKinds and AllKinds are the catalogues. A kind that stands
// several times is drawn more often. LimitKinds has only kinds under which the limit of a server
// still applies: a link that delays requests lets them arrive together, so its kinds are left
// out. StatusHeaderKinds adds to them the kinds of status headers of servers and more faults
// of the store. Runs of RegionKinds and AllKinds, which have cuts between regions, have three
// regions and send restricted requests. In runs of AllKinds the machines of boxes are small.
var (
	FirstKinds = Catalogue{
		BoxStop, BoxKill, BoxPause, BoxReload, StoreBusy, StoreMany, StoreSilent, StoreReset, StoreForgets, StoreCut,
		ServerDrain, ServerCrash, ServerReuse, ServerCorrupts, LinkDelay, LinkReset, LinkSilent, LinkOneWay, Configure, Evacuate,
	}
	SilentKinds = append(append(Catalogue{}, FirstKinds...), StoreBlink, StoreMute, LinkMute)
	CrashKinds  = append(append(Catalogue{}, SilentKinds...), RequestCrashes, ServerRestarts, EntryForeign)
	LimitKinds  = Catalogue{
		BoxStop, BoxKill, BoxPause, BoxReload, StoreSilent, StoreCut, ServerDrain, ServerCrash, ServerRestarts, ServerCorrupts,
		LinkReset, Configure, Evacuate, RequestCrashes, ServerLimited,
	}
	FormerKinds       = append(append(Catalogue{}, CrashKinds...), ServerLimited)
	StatusHeaderKinds = append(append(Catalogue{}, LimitKinds...), StoreBusy, StoreBlink, StoreMute, ServerLeaves, ServerRests)
	LaterKinds        = append(append(Catalogue{}, FormerKinds...), ServerLeaves, ServerRests)
	MovesKinds        = append(append(Catalogue{}, LaterKinds...), ServiceMoves)
	CutKinds          = append(append(Catalogue{}, MovesKinds...), BoxCut, BoxCut, BoxCut)
	CopyKinds         = append(append(Catalogue{}, CutKinds...), StoreCopy, StoreCopy, StoreCopy)
	StopKinds         = append(append(Catalogue{}, CopyKinds...), BoxesStop, BoxesStop, BoxesStop, EarlyAnswers, EarlyAnswers, EarlyAnswers)
	RegionKinds       = append(append(Catalogue{}, StopKinds...), slices.Concat(repeated(RegionsCut, 8), repeated(OddHeads, 4))...)
	AllKinds          = append(append(Catalogue{}, RegionKinds...), repeated(LongConfigurations, 16)...)
)

// Catalogues are the catalogues by number, from 1, as seeds.txt and the command line name
// them.
var Catalogues = []Catalogue{FirstKinds, SilentKinds, CrashKinds, LimitKinds, FormerKinds, StatusHeaderKinds, LaterKinds, MovesKinds, CutKinds, CopyKinds, StopKinds, RegionKinds, AllKinds}

// repeated returns a kind several times.
func repeated(k Kind, times int) Catalogue { return slices.Repeat(Catalogue{k}, times) }

// Event is one fault or operation.
type Event struct {
	At   time.Duration
	Kind Kind
	// Target is the number of the affected box, server or zone, modulo their count.
	Target   int
	Duration time.Duration
}

// Plan is all events of a run.
type Plan struct {
	Seed   int64
	Boxes  int
	Length time.Duration
	Zones  []topology.Zone
	// MemoryMB is the memory of a box's machine, 0 if boxes do not know it.
	MemoryMB int
	Events   []Event
}

// Bounds of a plan. Events start between firstEvent after its start and lastEvent before its
// end.
const (
	firstEvent   = 1 * time.Second
	lastEvent    = 2500 * time.Millisecond
	minEvents    = 8
	maxEvents    = 20
	minDuration  = 300 * time.Millisecond
	maxDuration  = 3500 * time.Millisecond
	seriesShare  = 0.25
	seriesPause  = 350 * time.Millisecond
	seriesLength = 3
)

// NewPlan draws a plan from a catalogue. Events may overlap, and some are followed by others
// of their kind with the next targets.
func NewPlan(kinds Catalogue, seed int64, boxes int, length time.Duration) *Plan {
	random := rand.New(rand.NewSource(seed))
	p := &Plan{Seed: seed, Boxes: boxes, Length: length, Zones: zonesOf(kinds)}
	if slices.Contains(kinds, LongConfigurations) {
		p.MemoryMB = growthMemoryMB
	}
	window := length - firstEvent - lastEvent
	for range minEvents + random.Intn(maxEvents-minEvents) {
		e := Event{
			At:       firstEvent + time.Duration(random.Int63n(int64(window))),
			Kind:     kinds[random.Intn(len(kinds))],
			Target:   random.Intn(1 << 16),
			Duration: minDuration + time.Duration(random.Int63n(int64(maxDuration-minDuration))),
		}
		p.Events = append(p.Events, e)
		if random.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesLength; i++ {
			e.At = min(e.At+seriesPause, length-lastEvent)
			e.Target++
			p.Events = append(p.Events, e)
		}
	}
	sort.SliceStable(p.Events, func(i, j int) bool { return p.Events[i].At < p.Events[j].At })
	return p
}
