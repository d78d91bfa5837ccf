package soak

import (
	"math/rand"
	"sort"
	"time"
)

// ================================================================
// What happens in a run: drawn from its seed alone, so that a seed replays.
// ================================================================

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds. Those of boxes are signals from outside; those of links are done
// by loopback proxies; those of the store and of servers by the stand-ins.
const (
	BoxStop      Kind = "box-stop"
	BoxKill      Kind = "box-kill"
	BoxPause     Kind = "box-pause"
	BoxReload    Kind = "box-reload"
	StoreBusy    Kind = "store-busy"
	StoreMany    Kind = "store-many"
	StoreSilent  Kind = "store-silent"
	StoreReset   Kind = "store-reset"
	StoreForgets Kind = "store-forgets"
	StoreCut     Kind = "store-cut"
	ServerDrain  Kind = "server-drain"
	ServerCrash  Kind = "server-crash"
	ServerReuse  Kind = "server-reuse"
	ServerCorrupts Kind = "server-spoils"
	LinkDelay    Kind = "link-delay"
	LinkReset    Kind = "link-reset"
	LinkSilent   Kind = "link-silent"
	LinkOneWay   Kind = "link-one-way"
	Configure    Kind = "configure"
	Evacuate     Kind = "evacuate"
	// StoreBlink is a store that is silent for a moment; StoreMute and LinkMute are
	// connections to the store and to a server that go silent for good.
	StoreBlink Kind = "store-blink"
	StoreMute  Kind = "store-mute"
	LinkMute   Kind = "link-mute"
	// RequestCrashes is a request that ends each server that runs it and comes again, at all
	// boxes; ServerReborn a server that ends and starts again under its id; EntryForeign
	// entries of servers that another writer has written.
	RequestCrashes Kind = "request-deadly"
	ServerRestarts  Kind = "server-reborn"
	EntryForeign  Kind = "entry-foreign"
	// ServerLimited is a server, or all of a service, that names the requests a second that it
	// takes from all boxes together.
	ServerLimited Kind = "server-limited"
	// ServerLeaves is a server that leaves and says so in its answers alone; ServerRests one, or all of
	// a service, that turns all requests away and asks the boxes for rest.
	ServerLeaves Kind = "server-leaves"
	ServerRests  Kind = "server-rests"
	// ServiceMoves is an order to move a service to a new version of its servers, which may be bad.
	ServiceMoves Kind = "service-moves"
)

// Catalogue is a list of kinds that a plan draws from. A seed draws the same plan from the
// same catalogue for ever, so kinds are added in a new one.
type Catalogue []Kind

// FirstKinds, SilentKinds, CrashKinds, LimitKinds, FormerKinds, StatusHeaderKinds, LaterKinds and AllKinds are the
// catalogues. LimitKinds are those under which a server's limit still binds: what a link holds back
// arrives together. StatusHeaderKinds are those with what servers say of themselves, beside crashes, cuts from
// the store and its silence.
var (
	FirstKinds = Catalogue{
		BoxStop, BoxKill, BoxPause, BoxReload, StoreBusy, StoreMany, StoreSilent, StoreReset, StoreForgets, StoreCut,
		ServerDrain, ServerCrash, ServerReuse, ServerCorrupts, LinkDelay, LinkReset, LinkSilent, LinkOneWay, Configure, Evacuate,
	}
	SilentKinds = append(append(Catalogue{}, FirstKinds...), StoreBlink, StoreMute, LinkMute)
	CrashKinds = append(append(Catalogue{}, SilentKinds...), RequestCrashes, ServerRestarts, EntryForeign)
	LimitKinds  = Catalogue{
		BoxStop, BoxKill, BoxPause, BoxReload, StoreSilent, StoreCut, ServerDrain, ServerCrash, ServerRestarts, ServerCorrupts,
		LinkReset, Configure, Evacuate, RequestCrashes, ServerLimited,
	}
	FormerKinds = append(append(Catalogue{}, CrashKinds...), ServerLimited)
	StatusHeaderKinds   = append(append(Catalogue{}, LimitKinds...), StoreBusy, StoreBlink, StoreMute, ServerLeaves, ServerRests)
	LaterKinds  = append(append(Catalogue{}, FormerKinds...), ServerLeaves, ServerRests)
	AllKinds    = append(append(Catalogue{}, LaterKinds...), ServiceMoves)
)

// Catalogues are named by numbers, from 1, in seeds.txt and on the command line.
var Catalogues = []Catalogue{FirstKinds, SilentKinds, CrashKinds, LimitKinds, FormerKinds, StatusHeaderKinds, LaterKinds, AllKinds}

// Event is one thing that happens.
type Event struct {
	At   time.Duration
	Kind Kind
	// Target is the number of the box, server or zone that it strikes, modulo
	// how many there are.
	Target int
	Duration    time.Duration
}

// Plan is all that happens in a run.
type Plan struct {
	Seed   int64
	Boxes  int
	Length time.Duration
	Events []Event
}

// Bounds of a plan.
const (
	firstEvent   = 1 * time.Second
	lastEvent    = 2500 * time.Millisecond // before the end
	minEvents  = 8
	maxEvents   = 20
	minDuration     = 300 * time.Millisecond
	maxDuration      = 3500 * time.Millisecond
	seriesShare  = 0.25
	seriesPause  = 350 * time.Millisecond
	seriesLength = 3
)

// NewPlan draws a plan from a catalogue. Events overlap, and some come in series.
func NewPlan(kinds Catalogue, seed int64, boxes int, length time.Duration) *Plan {
	random := rand.New(rand.NewSource(seed))
	p := &Plan{Seed: seed, Boxes: boxes, Length: length}
	window := length - firstEvent - lastEvent
	for range minEvents + random.Intn(maxEvents-minEvents) {
		e := Event{
			At:     firstEvent + time.Duration(random.Int63n(int64(window))),
			Kind:   kinds[random.Intn(len(kinds))],
			Target: random.Intn(1 << 16),
			Duration:    minDuration + time.Duration(random.Int63n(int64(maxDuration-minDuration))),
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
