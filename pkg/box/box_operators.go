package box

import (
	"net/netip"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/rpc"
	"github.com/stoneworks/stoneworks/pkg/shift"
)

func (b *Box) newOperators() *rpc.Operators {
	return &rpc.Operators{
		Store:        b.Store,
		Apply:        b.Writer.Apply,
		Status:       b.status,
		ExplainRoute: b.explain,
		KnownZone:    b.Topology.HasZone,
		KnownRegion:  b.Topology.HasRegion,
	}
}

func (b *Box) status() *pb.StatusReply {
	reply := &pb.StatusReply{
		Box: b.Settings.Box, Zone: b.Settings.Zone, Incarnation: b.Incarnation,
		Ready: b.Ready(), PlatformReachable: b.PlatformReachable(),
	}
	for _, m := range b.Table.Members() {
		reply.Boxes = append(reply.Boxes, &pb.BoxStatus{
			Box: m.Box, Zone: m.Zone, State: string(m.State), SilentMs: m.SilentFor.Milliseconds(),
			ConfigDigest: m.ConfigDigest, OperatorsAddress: m.Operators,
		})
	}
	for _, o := range b.Store.All() {
		if o.IsService() {
			reply.Services = append(reply.Services, b.serviceStatus(o))
		}
	}
	return reply
}

func (b *Box) serviceStatus(o *config.Object) *pb.ServiceStatus {
	s := &pb.ServiceStatus{Name: o.Name, Revision: o.Revision}
	own := map[string]admission.ServerStatus{}
	if gate := b.gate(o.Name); gate != nil {
		for _, server := range gate.Status() {
			own[server.Name] = server
		}
	}
	for _, server := range o.Service.BackendServers {
		line := &pb.BackendServerStatus{Name: server.Name, Zone: server.Zone, State: "remote"}
		if status, ok := own[server.Name]; ok {
			line.State = serverState(status)
			line.Share, line.InUse = int32(status.Share), int32(status.InUse)
		}
		s.BackendServers = append(s.BackendServers, line)
	}
	b.planStatus(o.Name, s)
	return s
}

// planStatus adds the plan's revision, this box's distance from the plan, and the
// assignment that the box applies.
func (b *Box) planStatus(service string, s *pb.ServiceStatus) {
	o := b.Store.Get(config.PlanPrefix + service)
	inForce := b.migrator(service).Active()
	if o == nil || o.Plan == nil || inForce == nil {
		return
	}
	s.PlanRevision = o.Revision
	s.PlanLeft = shift.Distance(inForce, o.Plan)
	for _, client := range b.Topology.Regions() {
		for _, serving := range b.Topology.Regions() {
			n := 0
			for bucket := range decide.Buckets {
				if inForce.Region(client, bucket) == serving {
					n++
				}
			}
			if n > 0 {
				s.Assignment = append(s.Assignment, &pb.RegionShare{
					ClientRegion: client, ServingRegion: serving, Share: float64(n) / decide.Buckets,
				})
			}
		}
	}
}

func serverState(s admission.ServerStatus) string {
	switch {
	case s.Leaving || s.SelfLeaving:
		return "leaving"
	case s.Ejected:
		return "ejected"
	}
	return "ready"
}

// explain returns the routing decision for a hypothetical request.
func (b *Box) explain(r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	client, err := netip.ParseAddr(r.GetClient())
	if err != nil {
		return nil, &model.InvalidError{Faults: []model.Fault{{Field: "client", Problem: r.GetClient(), Allowed: "an IP number"}}}
	}
	s := b.snapshot.Load()
	view := s.Services[r.GetService()]
	if view == nil {
		return nil, &config.NotFoundError{Name: r.GetService()}
	}
	d := s.Route(view, &decide.Request{Client: client})
	reply := &pb.ExplainReply{
		Region: d.Region, Zone: d.Zone, Reason: string(d.Reason), Bucket: int32(d.Bucket),
		Repeatable: view.Spec.MayRepeat(r.GetMethod(), r.GetPath()),
	}
	if d.Box != nil {
		reply.Box = d.Box.Box
	}
	for _, e := range s.Entries(client, r.GetService()) {
		reply.Candidates = append(reply.Candidates, e.Box)
	}
	return reply, nil
}
