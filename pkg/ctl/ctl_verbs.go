package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
)

// verbs lists all verbs.
var verbs = []verb{
	{"create", "create [-wait] FILE.json", "create a service from a file ('-' for standard input)", verbCreate},
	{"get", "get NAME", "read one service", verbGet},
	{"list", "list", "list the services", verbList},
	{"update", "update [-revision N] [-wait] FILE.json", "replace a service", verbUpdate},
	{"delete", "delete [-revision N] [-wait] NAME", "delete a service", verbDelete},
	{"watch", "watch [-count N]", "print services as they change", verbWatch},
	{"drain", "drain [-undo] [-wait] SERVICE SERVER", "send no new requests to a backend server", verbDrain},
	{"shift", "shift [-wait] SERVICE FROM TO SHARE", "plan to move a share of a region's clients to another region", verbShift},
	{"status", "status", "show how a box sees the deployment", verbStatus},
	{"plan", "plan SERVICE", "show which region serves which share of the clients, and how far a box is from the plan", verbPlan},
	{"explain", "explain [-method M] [-path P] SERVICE CLIENT", "show where a request would go, and why", verbExplain},
	{"customers", "customers ADDRESS...", "show the limits of customers and their admitted and refused requests, from the admin addresses of boxes", verbCustomers},
	{"quarantine", "quarantine ADDRESS...", "show requests in quarantine, during which backend servers crashed, from the admin addresses of boxes", verbQuarantine},
	{"release", "release FINGERPRINT ADDRESS", "release a request from quarantine at all boxes, through the admin address of any box", verbRelease},
	{"rollouts", "rollouts ADDRESS...", "show orders to move services to new versions: share, evidence and what the next step waits for, from the admin addresses of boxes", verbRollouts},
	{"rollout", "rollout hold|resume|rollback|finish SERVICE ADDRESS", "keep an order's share, go on, send the new version nothing more, or complete the order once its servers can carry all requests, through the admin address of any box", verbRollout},
	{"fleet", "fleet ADDRESS...", "show boxes by zone: live, with clients, asking the store, behind, silent, as the boxes at these admin addresses know it", verbFleet},
	{"servers", "servers ADDRESS...", "show which backend servers report that they leave, ask boxes to back off or name limits, from the admin addresses of boxes", verbServers},
	{"limits", "limits ADDRESS...", "show the limits in requests a second that backend servers name, and what boxes send them, from the admin addresses of boxes", verbLimits},
	{"report", "report [--every 2s] [--html FILE] LOG...", "summarize requests by outcome and cause, from JSON logs of boxes", verbReport},
	{"trace", "trace [--before 5s] ID LOG...", "print the lines about one request, from JSON logs of boxes", verbTrace},
}

func checkArguments(args []string, names ...string) error {
	if len(args) != len(names) {
		return &UsageError{Problem: fmt.Sprintf("%d arguments given, needed: %s", len(args), strings.Join(names, " "))}
	}
	return nil
}

// runFunc runs a verb with its arguments and a client of the chosen box.
type runFunc func(ctx context.Context, c pb.OperatorsClient, args []string) error

// withArguments checks that the named arguments are given, and then calls f with a client of
// the chosen box.
func (p *program) withArguments(names []string, f runFunc) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, names...); err != nil {
			return err
		}
		return p.withClient(func(c pb.OperatorsClient) error { return f(ctx, c, args) })
	}
}

func newChangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (p *program) readSpec(path string) (*pb.ServiceSpec, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(p.stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	spec := &pb.ServiceSpec{}
	if err := protojson.Unmarshal(text, spec); err != nil {
		return nil, &UsageError{Problem: path + ": " + err.Error()}
	}
	return spec, nil
}

// ----------------------------------------------------------------
// Changes
// ----------------------------------------------------------------

func verbCreate(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	f.BoolVar(&p.wait, "wait", false, "return when the change is in force at all reachable boxes")
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "FILE.json"); err != nil {
			return err
		}
		spec, err := p.readSpec(args[0])
		if err != nil {
			return err
		}
		return p.withClient(func(c pb.OperatorsClient) error {
			reply, err := c.CreateService(ctx, &pb.CreateServiceRequest{Spec: spec, ChangeId: newChangeID()})
			return p.finishChange(ctx, c, reply, err)
		})
	}
}

func verbUpdate(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	f.BoolVar(&p.wait, "wait", false, "return when the change is in force at all reachable boxes")
	revision := f.Uint64("revision", 0, "the revision that must be current; 0 for the one in force")
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "FILE.json"); err != nil {
			return err
		}
		spec, err := p.readSpec(args[0])
		if err != nil {
			return err
		}
		return p.edit(ctx, spec.GetName(), *revision, func(*pb.ServiceSpec) (*pb.ServiceSpec, error) { return spec, nil })
	}
}

// edit reads a service, changes it, and writes it back, provided that its revision is still
// the given one or, if that is 0, the one that was read.
func (p *program) edit(ctx context.Context, name string, revision uint64, change func(*pb.ServiceSpec) (*pb.ServiceSpec, error)) error {
	return p.withClient(func(c pb.OperatorsClient) error {
		current, err := c.GetService(ctx, &pb.GetServiceRequest{Name: name})
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = current.Revision
		}
		spec, err := change(current.Spec)
		if err != nil {
			return err
		}
		reply, err := c.UpdateService(ctx, &pb.UpdateServiceRequest{Spec: spec, ExpectedRevision: revision, ChangeId: newChangeID()})
		return p.finishChange(ctx, c, reply, err)
	})
}

func verbDelete(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	f.BoolVar(&p.wait, "wait", false, "return when the change is in force at all reachable boxes")
	revision := f.Uint64("revision", 0, "the revision that must be current; 0 for the one in force")
	return p.withArguments([]string{"NAME"}, func(ctx context.Context, c pb.OperatorsClient, args []string) error {
		current, err := c.GetService(ctx, &pb.GetServiceRequest{Name: args[0]})
		if err != nil {
			return err
		}
		expected := *revision
		if expected == 0 {
			expected = current.Revision
		}
		reply, err := c.DeleteService(ctx, &pb.DeleteServiceRequest{Name: args[0], ExpectedRevision: expected, ChangeId: newChangeID()})
		return p.finishChange(ctx, c, reply, err)
	})
}

func verbDrain(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	f.BoolVar(&p.wait, "wait", false, "return when the change is in force at all reachable boxes")
	undo := f.Bool("undo", false, "send it new requests again")
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "SERVICE", "SERVER"); err != nil {
			return err
		}
		return p.edit(ctx, args[0], 0, func(spec *pb.ServiceSpec) (*pb.ServiceSpec, error) {
			for _, b := range spec.BackendServers {
				if b.Name == args[1] {
					b.Leaving = !*undo
					return spec, nil
				}
			}
			return nil, &UsageError{Problem: fmt.Sprintf("service %q has no backend server %q", args[0], args[1])}
		})
	}
}

func verbShift(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	f.BoolVar(&p.wait, "wait", false, "return when the change is in force at all reachable boxes")
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "SERVICE", "FROM", "TO", "SHARE"); err != nil {
			return err
		}
		var share float64
		if _, err := fmt.Sscanf(args[3], "%g", &share); err != nil {
			return &UsageError{Problem: fmt.Sprintf("SHARE %q: allowed is 0 to 1", args[3])}
		}
		return p.edit(ctx, args[0], 0, func(spec *pb.ServiceSpec) (*pb.ServiceSpec, error) {
			kept := spec.Shifts[:0]
			for _, s := range spec.Shifts {
				if s.FromRegion != args[1] || s.ToRegion != args[2] {
					kept = append(kept, s)
				}
			}
			spec.Shifts = kept
			if share > 0 {
				spec.Shifts = append(spec.Shifts, &pb.PlannedShift{FromRegion: args[1], ToRegion: args[2], Share: share})
			}
			return spec, nil
		})
	}
}

// ----------------------------------------------------------------
// Reading
// ----------------------------------------------------------------

func verbGet(p *program, _ *flag.FlagSet) func(context.Context, []string) error {
	return p.withArguments([]string{"NAME"}, func(ctx context.Context, c pb.OperatorsClient, args []string) error {
		reply, err := c.GetService(ctx, &pb.GetServiceRequest{Name: args[0]})
		if err != nil {
			return err
		}
		return p.printService(reply)
	})
}

func verbList(p *program, _ *flag.FlagSet) func(context.Context, []string) error {
	return p.withArguments(nil, func(ctx context.Context, c pb.OperatorsClient, _ []string) error {
		reply, err := c.ListServices(ctx, &pb.ListServicesRequest{})
		if err != nil {
			return err
		}
		return p.printList(reply)
	})
}

func verbWatch(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	count := f.Int("count", 0, "stop after this many lines; 0 to continue until the timeout")
	return p.withArguments(nil, func(ctx context.Context, c pb.OperatorsClient, _ []string) error {
		stream, err := c.WatchServices(ctx, &pb.WatchServicesRequest{})
		if err != nil {
			return err
		}
		for n := 0; *count == 0 || n < *count; n++ {
			reply, err := stream.Recv()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			p.printChange(reply)
		}
		return nil
	})
}

func verbStatus(p *program, _ *flag.FlagSet) func(context.Context, []string) error {
	return p.withArguments(nil, func(ctx context.Context, c pb.OperatorsClient, _ []string) error {
		reply, err := c.GetStatus(ctx, &pb.GetStatusRequest{})
		if err != nil {
			return err
		}
		return p.printStatus(reply)
	})
}

func verbPlan(p *program, _ *flag.FlagSet) func(context.Context, []string) error {
	return p.withArguments([]string{"SERVICE"}, func(ctx context.Context, c pb.OperatorsClient, args []string) error {
		reply, err := c.GetStatus(ctx, &pb.GetStatusRequest{})
		if err != nil {
			return err
		}
		for _, s := range reply.Services {
			if s.Name == args[0] {
				return p.printPlan(s)
			}
		}
		return status.Errorf(codes.NotFound, "no service %q", args[0])
	})
}

func verbExplain(p *program, f *flag.FlagSet) func(context.Context, []string) error {
	method := f.String("method", "GET", "the request's method")
	path := f.String("path", "/", "the request's path")
	return p.withArguments([]string{"SERVICE", "CLIENT"}, func(ctx context.Context, c pb.OperatorsClient, args []string) error {
		reply, err := c.Explain(ctx, &pb.ExplainRequest{Service: args[0], Client: args[1], Method: *method, Path: *path})
		if err != nil {
			return err
		}
		return p.printExplain(reply)
	})
}
