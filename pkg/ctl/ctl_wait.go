package ctl

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/sourcegraph/conc"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
)

// waitPoll is the interval at which a box is queried until it has a change in force.
const waitPoll = 50 * time.Millisecond

// finishChange prints an accepted change and, with -wait, waits until all reachable boxes have
// it in force.
func (p *program) finishChange(ctx context.Context, c pb.OperatorsClient, reply *pb.ServiceReply, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(p.stdout, "%s revision %d accepted\n", reply.Spec.Name, reply.Revision)
	if !p.wait {
		return nil
	}
	status, err := c.GetStatus(ctx, &pb.GetStatusRequest{})
	if err != nil {
		return err
	}
	started := time.Now()
	missing, unreachable := p.awaitEverywhere(ctx, status.Boxes, reply)
	for _, box := range unreachable {
		fmt.Fprintf(p.stdout, "not reachable: %s\n", box)
	}
	if len(missing) > 0 {
		return &NotEverywhereError{Missing: missing}
	}
	fmt.Fprintf(p.stdout, "%s revision %d in force at every reachable box after %d ms\n",
		reply.Spec.Name, reply.Revision, time.Since(started).Milliseconds())
	return nil
}

// awaitEverywhere queries each box until it has the revision in force. It returns the boxes
// that do not have it in time and those that cannot be reached.
func (p *program) awaitEverywhere(ctx context.Context, boxes []*pb.BoxStatus, want *pb.ServiceReply) (missing, unreachable []string) {
	wg := conc.NewWaitGroup()
	results := make([]boxWait, len(boxes))
	for i, b := range boxes {
		wg.Go(func() { results[i] = p.awaitBox(ctx, b, want) })
	}
	wg.Wait()
	for i, r := range results {
		switch r {
		case boxBehind:
			missing = append(missing, boxes[i].Box)
		case boxUnreachable:
			unreachable = append(unreachable, boxes[i].Box)
		}
	}
	sort.Strings(missing)
	return missing, unreachable
}

type boxWait int

const (
	boxUpToDate boxWait = iota
	boxBehind
	boxUnreachable
)

func (p *program) awaitBox(ctx context.Context, b *pb.BoxStatus, want *pb.ServiceReply) boxWait {
	client, done, err := p.dial(b.OperatorsAddress)
	if err != nil {
		return boxUnreachable
	}
	defer done()
	for {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		status, err := client.GetStatus(attempt, &pb.GetStatusRequest{})
		cancel()
		if err != nil && ctx.Err() == nil {
			return boxUnreachable
		}
		if err == nil && hasRevision(status, want) {
			return boxUpToDate
		}
		select {
		case <-ctx.Done():
			return boxBehind
		case <-time.After(waitPoll):
		}
	}
}

func hasRevision(s *pb.StatusReply, want *pb.ServiceReply) bool {
	for _, service := range s.Services {
		if service.Name == want.Spec.Name {
			return service.Revision >= want.Revision
		}
	}
	return want.Deleted
}
