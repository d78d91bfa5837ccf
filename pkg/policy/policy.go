// Package policy holds the parameters by which a box decides, in one place, so that two sets
// of them can be compared without a change of code. It contains only data and checks. The
// measurements behind them are in docs/decisions.md.
package policy

import (
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// Policy is one set of parameters. The tags of each field give its name in the settings, its
// unit and its bounds. The fill of a server is how many of its slots are taken, as a multiple
// of the slots; it exceeds 1 when requests wait for a slot.
type Policy struct {
	// IdleFill is the fill up to which a server of another region is given keys whose home is
	// full.
	IdleFill float64 `yaml:"idle_fill" unit:"of its slots" least:"0" most:"100"`
	// FullFill is the fill of a home from which on requests are refused or go elsewhere. It is
	// well above 1, since a server that does not know the key takes longer than waiting for
	// one that does.
	FullFill float64 `yaml:"full_fill" unit:"of its slots" least:"0.5" most:"100"`
	// YieldFill is the fill of a home from which on a request is refused while more urgent
	// ones of its service are short of capacity, and ShortFill the fill that the home of one
	// of these must have for that.
	YieldFill float64 `yaml:"yield_fill" unit:"of its slots" least:"0" most:"100"`
	ShortFill float64 `yaml:"short_fill" unit:"of its slots" least:"0" most:"100"`

	// RefusedFill is the fill assumed for a server that has refused a request for lack of
	// capacity: nearly the fill of a full server.
	RefusedFill float64 `yaml:"refused_fill" unit:"of its slots" least:"0" most:"100"`

	// HotShare is the part of a server's requests from which on one key is hot. A hot key is
	// served by a second server as well, while the first has all slots taken. Other keys are
	// not: each would have to be learnt by two servers.
	HotShare float64 `yaml:"hot_share" unit:"of a server's requests" least:"0" most:"10"`
	// HotFill is the fill of a hot key's home from which on the second server is considered.
	HotFill float64 `yaml:"hot_fill" unit:"of its slots" least:"0" most:"100"`

	// SpeedWeight is the weight of a new answer in the average of how long a server takes for
	// keys that it knows. It is small, since keys differ by a sixth.
	SpeedWeight float64 `yaml:"speed_weight" unit:"of the average" least:"0.001" most:"1"`
	// SpeedAnswers is how many answers that average needs before it is used.
	SpeedAnswers int `yaml:"speed_answers" unit:"answers" least:"1" most:"1000000"`
	// SpeedStep is the factor by which servers must differ to get different shares of the
	// keys. Boxes do not coordinate these shares, so steps have to be larger than the
	// differences between what boxes measure.
	SpeedStep float64 `yaml:"speed_step" unit:"times the typical time" least:"1.05" most:"100"`

	// ShareStep is how fast a region's share of its own keys follows the regions' slots. The
	// rest of the cap on shifts is left for random variation.
	ShareStep float64 `yaml:"share_step" unit:"of the cap on shifts, a window" least:"0" most:"1"`
	// NearFill is the fill that the region's servers must report, and NearGap how much more
	// that must be than elsewhere, for keys to leave the region. Below NearRoom they come
	// back.
	NearFill float64 `yaml:"near_fill" unit:"of their slots" least:"0" most:"100"`
	NearGap  float64 `yaml:"near_gap" unit:"of their slots" least:"0" most:"100"`
	NearRoom float64 `yaml:"near_room" unit:"of their slots" least:"0" most:"100"`
	// SpillShare is the part of the cap on shifts for single requests that leave a full
	// region.
	SpillShare float64 `yaml:"spill_share" unit:"of the cap on shifts, a window" least:"0" most:"1"`

	// LoadHolds is how long a load that a server has reported counts in full, and LoadFades
	// when it no longer counts at all: a few service times.
	LoadHolds time.Duration `yaml:"load_holds" unit:"time" least:"10ms" most:"1m"`
	LoadFades time.Duration `yaml:"load_fades" unit:"time" least:"20ms" most:"10m"`

	// FailuresToRest is how many exchanges in a row must fail before a server is ejected. A
	// connection that cannot be established counts as that many.
	FailuresToRest int `yaml:"failures_to_rest" unit:"exchanges" least:"1" most:"1000000"`
	// Silence is how long a server must not have answered anything before a request that timed
	// out counts against it. A server that is only busy continues to answer and keeps its
	// keys.
	Silence time.Duration `yaml:"silence" unit:"time" least:"10ms" most:"1m"`
	// FirstRest and LongestRest bound the time of an ejection, which doubles each time.
	FirstRest   time.Duration `yaml:"first_rest" unit:"time" least:"10ms" most:"1m"`
	LongestRest time.Duration `yaml:"longest_rest" unit:"time" least:"10ms" most:"10m"`
	// LatencyWeight is the weight of a new latency in the moving average, and RecoveryWeight
	// that of a latency below half of the average: a server that has recovered should be
	// recognized soon, although it gets few requests.
	LatencyWeight  float64 `yaml:"latency_weight" unit:"of the average" least:"0.001" most:"1"`
	RecoveryWeight float64 `yaml:"recovery_weight" unit:"of the average" least:"0.001" most:"1"`
	// SlowFactor is how many times longer than its service's typical server a server must take
	// to count as slow, SlowFloor how long it must take at least, and SlowAnswers after how
	// many answers. Time spent waiting for a slot is excluded.
	SlowFactor  float64       `yaml:"slow_factor" unit:"times the typical latency" least:"1" most:"1000"`
	SlowFloor   time.Duration `yaml:"slow_floor" unit:"time" least:"1ms" most:"1m"`
	SlowAnswers int           `yaml:"slow_answers" unit:"answers" least:"1" most:"1000"`
	// SlowRest is how long a slow server gets no requests before each box tries it with one
	// request.
	SlowRest time.Duration `yaml:"slow_rest" unit:"time" least:"10ms" most:"10m"`
	// ColdMargin is added to the time for which a server is reported to be cold, for the time
	// that the message was in transit.
	ColdMargin time.Duration `yaml:"cold_margin" unit:"time" least:"0s" most:"1m"`

	// ReturnLeast and ReturnMost bound the time after which a refused client is asked to
	// return. The time is drawn at random between them, so that refused clients do not return
	// all at once.
	ReturnLeast time.Duration `yaml:"return_least" unit:"time" least:"1ms" most:"1m"`
	ReturnMost  time.Duration `yaml:"return_most" unit:"time" least:"1ms" most:"1m"`

	// ReturnSoon is the least time after which a client is asked to return to a full server.
	ReturnSoon time.Duration `yaml:"return_soon" unit:"time" least:"1ms" most:"1m"`
	// ReturnRoom is the time after which a client is asked to return whose request was refused
	// by a server with free slots. It is short, since no requests have to finish first, and
	// leaves enough time for a request of a tenth of a second.
	ReturnRoom time.Duration `yaml:"return_room" unit:"time" least:"1ms" most:"1m"`

	// ShortageFill is the average fill of a region's servers from which on clients that found
	// their server full are asked to return as late as they would, 100 for never; see package
	// returns.
	ShortageFill float64 `yaml:"shortage_fill" unit:"of their slots" least:"0" most:"100"`
	// RetryReserve is the part of the retry budget's tokens that is kept for requests whose
	// client has no attempt left, 0 for none; see package returns.
	RetryReserve float64 `yaml:"retry_reserve" unit:"of the most tokens" least:"0" most:"1"`

	// QuarantineAfter is how many backend servers must have crashed under a request, while
	// none has answered it since, for it to be kept from servers, and QuarantineHold for how
	// long.
	QuarantineAfter int           `yaml:"quarantine_after" unit:"servers" least:"2" most:"8"`
	QuarantineHold  time.Duration `yaml:"quarantine_hold" unit:"time" least:"1s" most:"24h"`

	// CanaryFalseRate is the probability with which a new version that is as good as the other
	// servers is found bad, CanaryMissRate the one with which a version that is worse by
	// CanaryMargin is called good. CanarySlowFactor is how many times longer than a typical
	// answer of others an answer takes to count as bad.
	CanaryFalseRate  float64 `yaml:"canary_false_rate" unit:"of good versions" least:"0.000001" most:"0.2"`
	CanaryMissRate   float64 `yaml:"canary_miss_rate" unit:"of bad versions" least:"0.000001" most:"0.2"`
	CanaryMargin     float64 `yaml:"canary_margin" unit:"of a version's answers" least:"0.01" most:"0.5"`
	CanarySlowFactor float64 `yaml:"canary_slow_factor" unit:"times the typical time" least:"1.2" most:"100"`

	// LogAnsweredEvery is the sampling interval of log lines: of requests that were answered
	// at the first attempt, one in so many is logged.
	LogAnsweredEvery int `yaml:"log_answered_every" unit:"requests" least:"1" most:"1000000"`

	// WatchersPerZone is how many boxes of a zone poll the platform's store; the others get
	// their data from these. If the only one has ended, the zone gets it from other zones
	// until another box takes over.
	WatchersPerZone int `yaml:"watchers_per_zone" unit:"boxes" least:"1" most:"1000"`
}

// Default returns the parameters that apply where the settings give none.
func Default() Policy {
	return Policy{
		IdleFill:         0.5,
		FullFill:         2.1,
		YieldFill:        1,
		ShortFill:        1.5,
		RefusedFill:      1.8,
		HotShare:         0.35,
		HotFill:          1,
		SpeedWeight:      0.03,
		SpeedAnswers:     15,
		SpeedStep:        1.3,
		ShareStep:        0.3,
		NearFill:         1,
		NearGap:          0.3,
		NearRoom:         0.6,
		SpillShare:       0.4,
		LoadHolds:        500 * time.Millisecond,
		LoadFades:        2 * time.Second,
		FailuresToRest:   3,
		Silence:          time.Second,
		FirstRest:        500 * time.Millisecond,
		LongestRest:      8 * time.Second,
		LatencyWeight:    0.2,
		RecoveryWeight:   0.5,
		SlowFactor:       3,
		SlowFloor:        300 * time.Millisecond,
		SlowAnswers:      3,
		SlowRest:         4 * time.Second,
		ColdMargin:       300 * time.Millisecond,
		ReturnLeast:      100 * time.Millisecond,
		ReturnMost:       500 * time.Millisecond,
		ReturnSoon:       20 * time.Millisecond,
		ReturnRoom:       10 * time.Millisecond,
		ShortageFill:     100,
		RetryReserve:     0,
		QuarantineAfter:  3,
		QuarantineHold:   10 * time.Minute,
		CanaryFalseRate:  0.001,
		CanaryMissRate:   0.02,
		CanaryMargin:     0.08,
		CanarySlowFactor: 2,
		LogAnsweredEvery: 32,
		WatchersPerZone:  1,
	}
}

// Parameter is one parameter in a form for display.
type Parameter struct {
	Name  string
	Value string
	Unit  string
}

// Parameters lists all parameters in the order of their declaration.
func (p *Policy) Parameters() []Parameter {
	v := reflect.ValueOf(p).Elem()
	list := make([]Parameter, 0, v.NumField())
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		list = append(list, Parameter{
			Name: tag.Get("yaml"), Value: fmt.Sprint(v.Field(i).Interface()), Unit: tag.Get("unit"),
		})
	}
	return list
}

// Fault is a parameter with a value that is not allowed.
type Fault struct {
	Name    string
	Value   string
	Allowed string
}

// Check returns all faults: first those of single parameters, then those of combinations.
func (p *Policy) Check() []Fault {
	var faults []Fault
	v := reflect.ValueOf(p).Elem()
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		if !withinBounds(v.Field(i), tag.Get("least"), tag.Get("most")) {
			faults = append(faults, Fault{
				Name: tag.Get("yaml"), Value: fmt.Sprint(v.Field(i).Interface()),
				Allowed: fmt.Sprintf("%s to %s (%s)", tag.Get("least"), tag.Get("most"), tag.Get("unit")),
			})
		}
	}
	for _, e := range []struct {
		ok      bool
		name    string
		value   any
		allowed string
	}{
		{p.LoadFades > p.LoadHolds, "load_fades", p.LoadFades, "more than load_holds"},
		{p.LongestRest >= p.FirstRest, "longest_rest", p.LongestRest, "at least first_rest"},
		{p.ReturnMost > p.ReturnLeast, "return_most", p.ReturnMost, "more than return_least"},
		{p.ShareStep+p.SpillShare <= maxShiftShare, "spill_share", p.SpillShare, "with share_step at most 1.2 (of the cap on shifts)"},
	} {
		if !e.ok {
			faults = append(faults, Fault{Name: e.name, Value: fmt.Sprint(e.value), Allowed: e.allowed})
		}
	}
	return faults
}

// maxShiftShare bounds the sum of share_step and spill_share, as a multiple of the cap on
// shifts. It is above 1, since both rarely use the cap in the same direction at once.
const maxShiftShare = 1.2

// withinBounds reports whether a parameter lies within its bounds.
func withinBounds(v reflect.Value, least, most string) bool {
	if d, ok := v.Interface().(time.Duration); ok {
		return d >= mustDuration(least) && d <= mustDuration(most)
	}
	f := v.Convert(reflect.TypeFor[float64]()).Float()
	return f >= mustNumber(least) && f <= mustNumber(most)
}

// mustDuration parses a bound from a tag of this package, and panics if it is malformed.
func mustDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("policy: malformed bound " + strconv.Quote(text))
	}
	return d
}

// mustNumber parses a bound from a tag of this package, and panics if it is malformed.
func mustNumber(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("policy: malformed bound " + strconv.Quote(text))
	}
	return f
}
