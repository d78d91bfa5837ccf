package relay

import (
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"
)

const (
	// headStart is how long a direct attempt runs alone. It is longer than the round trip between
	// the farthest regions. suspectHeadStart is the same over a suspect link, and longer than the
	// round trip within a region.
	headStart        = 250 * time.Millisecond
	suspectHeadStart = 50 * time.Millisecond
	// maxHelpers bounds the boxes that are asked for one connection.
	maxHelpers = 5
)

// Dialer opens connections to backend servers.
type Dialer struct {
	Paths *Paths
	// Timeout bounds an attempt to connect.
	Timeout time.Duration
	// Direct connects over this box's own link, Through through another box. The errors of
	// Through are *HelperErrors.
	Direct  func(ctx context.Context, address string) (net.Conn, error)
	Through func(ctx context.Context, box Box, t Target) (net.Conn, error)
	// Boxes returns the other boxes that may help.
	Boxes func() []Box
	// Others returns the addresses of up to count servers other than the one at the address, the
	// most promising one first.
	Others func(address string, count int) []string
	// Go runs work in the background.
	Go func(work func())

	helpers helpers
}

// NewDialer returns a dialer of a box in a region. The caller sets the exported fields. random
// returns a number in [0, 1).
func NewDialer(region string, now func() time.Time, random func() float64) *Dialer {
	return &Dialer{
		Paths:   NewPaths(now),
		helpers: helpers{now: now, random: random, region: region, unavailable: map[string]time.Time{}},
	}
}

// attempt is the result of one attempt to connect.
type attempt struct {
	conn net.Conn
	err  error
	// isDirect is true if no other box was asked.
	isDirect bool
	box      Box
}

// race is the set of attempts for one connection.
type race struct {
	d       *Dialer
	target  Target
	ctx     context.Context
	results chan attempt
	running int
	tried   map[string]bool
	// next is when another box is asked unless an attempt has ended before.
	next time.Duration
	// directErr is the error of the direct attempt once it has failed, and stopDirect ends it.
	directErr  error
	stopDirect context.CancelFunc
	errs       []error
	// isDown is true if the server has refused the direct attempt, over a link that works.
	isDown bool
}

// Dial connects to a server: directly, or through another box if the direct attempt fails or
// takes longer than headStart. A link that is suspect is waited for less long, and one that is
// broken not tried. The error is a *NoPathError if the server may be well, and otherwise that of an
// attempt.
func (d *Dialer) Dial(ctx context.Context, t Target) (net.Conn, error) {
	state := d.Paths.State(t.Address)
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	r := &race{
		d: d, target: t, ctx: ctx, results: make(chan attempt, 1+maxHelpers), tried: map[string]bool{}, stopDirect: func() {},
	}
	switch state {
	case Working:
		r.startDirect()
		r.next = headStart
	case Suspect:
		r.startDirect()
		r.next = suspectHeadStart
	case Broken:
		r.askBox()
		r.next = headStart
	}
	winner, ok := r.run()
	r.leaveRest(ok && !winner.isDirect)
	if !ok {
		return nil, r.failure()
	}
	if winner.isDirect {
		d.Paths.ObserveConnected(t.Address)
	} else {
		d.Paths.ObserveRelayed(t.Address, state == Broken || r.directErr != nil)
	}
	return winner.conn, nil
}

// startDirect starts the direct attempt. It may outlast the race, because its result shows
// whether the link works.
func (r *race) startDirect() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), r.d.Timeout)
	r.stopDirect = cancel
	r.running++
	r.d.Go(func() {
		conn, err := r.d.Direct(ctx, r.target.Address)
		r.results <- attempt{conn: conn, err: err, isDirect: true}
	})
}

// askBox starts an attempt through a box that was not asked yet, if there is one.
func (r *race) askBox() {
	if len(r.tried) == maxHelpers {
		return
	}
	box, ok := r.d.helpers.choose(r.d.Boxes(), r.target, r.tried)
	if !ok {
		return
	}
	r.tried[box.Name] = true
	r.running++
	r.d.Go(func() {
		conn, err := r.d.Through(r.ctx, box, r.target)
		r.results <- attempt{conn: conn, err: err, box: box}
	})
}

// run waits for the first attempt that succeeds and starts further ones meanwhile. ok is false
// if none does.
func (r *race) run() (winner attempt, ok bool) {
	timer := time.NewTimer(r.next)
	defer timer.Stop()
	for r.running > 0 {
		select {
		case a := <-r.results:
			r.running--
			if a.err == nil {
				return a, true
			}
			if r.handleFailure(a) {
				return attempt{}, false
			}
		case <-timer.C:
			r.askBox()
			timer.Reset(headStart)
		case <-r.ctx.Done():
			return attempt{}, r.timeOut()
		}
	}
	return attempt{}, false
}

// timeOut processes the end of the race's time. It returns false.
func (r *race) timeOut() bool {
	err := r.ctx.Err()
	r.errs = append(r.errs, err)
	if errors.Is(err, context.DeadlineExceeded) && r.directErr == nil {
		r.d.Paths.ObserveFailed(r.target.Address)
	}
	return false
}

// handleFailure processes a failed attempt. It reports whether the server is known not to accept
// connections, so that further attempts are needless.
func (r *race) handleFailure(a attempt) (isDown bool) {
	r.errs = append(r.errs, a.err)
	if a.isDirect {
		r.directErr = a.err
		if errors.Is(a.err, syscall.ECONNREFUSED) && r.d.LinksWork(r.ctx, r.target.Address) {
			r.isDown = true
			return true
		}
		r.d.Paths.ObserveFailed(r.target.Address)
		if len(r.tried) == 0 {
			r.askBox()
		}
		return false
	}
	var failed *HelperError
	if errors.As(a.err, &failed) && failed.Reason == ServerRefused {
		r.d.Paths.ObserveDown(r.target.Address)
		return true
	}
	if r.ctx.Err() == nil && (failed == nil || failed.Reason == Unavailable) {
		r.d.helpers.markUnavailable(a.box.Name)
	}
	r.askBox()
	return false
}

// leaveRest handles the results of attempts that still run. If the server was reached through
// another box, the result of the direct attempt still counts.
func (r *race) leaveRest(wasRelayed bool) {
	if !wasRelayed {
		r.stopDirect()
	}
	if r.running == 0 {
		r.stopDirect()
		return
	}
	paths, address, running := r.d.Paths, r.target.Address, r.running
	r.d.Go(func() {
		defer r.stopDirect()
		for range running {
			a := <-r.results
			if a.conn != nil {
				_ = a.conn.Close()
			}
			switch {
			case !a.isDirect || !wasRelayed:
			case a.err == nil:
				paths.ObserveConnected(address)
			default:
				paths.ObserveRelayed(address, true)
			}
		}
	})
}

// failure returns the error of a race that no attempt has won.
func (r *race) failure() error {
	if r.isDown {
		return r.directErr
	}
	for _, err := range r.errs {
		var failed *HelperError
		if errors.As(err, &failed) && failed.Reason != Unavailable {
			return err
		}
	}
	noPath := &NoPathError{Address: r.target.Address, Causes: r.errs}
	switch {
	case r.d.Paths.State(r.target.Address) == Broken, r.d.Paths.CutOff():
		return noPath
	case r.target.Bound && len(r.d.Boxes()) > 0 && !errors.Is(r.ctx.Err(), context.Canceled):
		return noPath // boxes of other regions may reach the server, and were not asked
	case r.directErr == nil:
		return r.errs[len(r.errs)-1]
	case errors.Is(r.directErr, syscall.ECONNREFUSED):
		return noPath // the links do not work, see handleFailure
	}
	return r.directErr
}

const (
	// checkTimeout bounds the check of the links to other servers: two round trips between
	// regions.
	checkTimeout = 250 * time.Millisecond
	// checkedLinks bounds the links that are checked, since other servers may have failed too.
	checkedLinks = 3
)

// LinksWork checks whether this box can connect to another server than the one at the address. If
// it cannot, a failure to reach that one shows nothing about it. Without another server the links
// count as working.
func (d *Dialer) LinksWork(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	others := d.Others(address, checkedLinks)
	for _, other := range others {
		conn, err := d.Direct(ctx, other)
		if err == nil {
			_ = conn.Close()
			d.Paths.ObserveConnected(other)
			return true
		}
		d.Paths.ObserveFailed(other)
	}
	return len(others) == 0
}

// ProbeBroken tries up to count broken links. A link that works again is used for new
// connections; as it is likely that others do too, all of them are tried then.
func (d *Dialer) ProbeBroken(ctx context.Context, count int) {
	for _, address := range d.Paths.Broken(count) {
		d.Go(func() {
			if d.probe(ctx, address) && count < math.MaxInt {
				d.ProbeBroken(ctx, math.MaxInt)
			}
		})
	}
}

// probe reports whether a direct connection could be opened.
func (d *Dialer) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.Direct(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	d.Paths.ObserveConnected(address)
	return true
}
