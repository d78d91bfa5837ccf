package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
)

// print writes the message as JSON, or as the table that the function writes.
func (p *program) print(m proto.Message, table func(w *tabwriter.Writer)) error {
	switch p.output {
	case "json":
		text, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
		if err != nil {
			return err
		}
		fmt.Fprintln(p.stdout, string(text))
		return nil
	case "table":
		w := tabwriter.NewWriter(p.stdout, 0, 8, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	return &UsageError{Problem: fmt.Sprintf("-output %q: allowed are table and json", p.output)}
}

func (p *program) printService(r *pb.ServiceReply) error {
	return p.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "service\t%s\nrevision\t%d\nshift cap\t%g in %d ms\n", r.Spec.Name, r.Revision, r.Spec.ShiftCap, r.Spec.ShiftWindowMs)
		for _, s := range r.Spec.Shifts {
			fmt.Fprintf(w, "shift\t%g from %s to %s\n", s.Share, s.FromRegion, s.ToRegion)
		}
		fmt.Fprintln(w, "SERVER\tADDRESS\tZONE\tSLOTS\tLEAVING")
		for _, b := range r.Spec.BackendServers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\n", b.Name, b.Address, b.Zone, b.Slots, b.Leaving)
		}
	})
}

func (p *program) printList(r *pb.ListServicesReply) error {
	return p.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tREVISION\tSERVERS\tSLOTS")
		for _, s := range r.Services {
			slots := int32(0)
			for _, b := range s.Spec.BackendServers {
				slots += b.Slots
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", s.Spec.Name, s.Revision, len(s.Spec.BackendServers), slots)
		}
	})
}

func (p *program) printChange(r *pb.ServiceReply) {
	what := "in force"
	if r.Deleted {
		what = "deleted"
	}
	fmt.Fprintf(p.stdout, "%s revision %d %s\n", r.Spec.Name, r.Revision, what)
}

func (p *program) printStatus(r *pb.StatusReply) error {
	return p.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "box %s in %s\tready %t\tplatform reachable %t\n", r.Box, r.Zone, r.Ready, r.PlatformReachable)
		fmt.Fprintln(w, "BOX\tZONE\tSTATE\tSILENT MS\tCONFIGURATION")
		for _, b := range r.Boxes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", b.Box, b.Zone, b.State, b.SilentMs, b.ConfigDigest)
		}
		for _, s := range r.Services {
			fmt.Fprintf(w, "service %s revision %d\n", s.Name, s.Revision)
			fmt.Fprintln(w, "SERVER\tZONE\tSTATE\tSHARE\tIN USE")
			for _, b := range s.BackendServers {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", b.Name, b.Zone, b.State, b.Share, b.InUse)
			}
		}
	})
}

func (p *program) printPlan(s *pb.ServiceStatus) error {
	return p.print(s, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "service %s\tplan revision %d\tremaining %.1f%%\n", s.Name, s.PlanRevision, 100*s.PlanLeft)
		fmt.Fprintln(w, "CLIENTS OF\tSERVED BY\tSHARE")
		for _, a := range s.Assignment {
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\n", a.ClientRegion, a.ServingRegion, 100*a.Share)
		}
	})
}

func (p *program) printExplain(r *pb.ExplainReply) error {
	return p.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "region\t%s\nzone\t%s\nbox\t%s\nreason\t%s\nbucket\t%d\nmay be repeated\t%t\nentry boxes\t%s\n",
			r.Region, r.Zone, r.Box, r.Reason, r.Bucket, r.Repeatable, strings.Join(r.Candidates, " "))
	})
}
