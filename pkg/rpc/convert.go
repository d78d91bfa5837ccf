package rpc

import (
	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// FromSpec converts a service from its gRPC message, and sets the default shift cap and shift
// window if the message has none.
func FromSpec(s *pb.ServiceSpec) *model.Service {
	if s == nil {
		return &model.Service{}
	}
	m := &model.Service{
		Name: s.Name, ShiftCap: s.ShiftCap, ShiftWindowMS: s.ShiftWindowMs,
		AllowedRegions: s.AllowedRegions, CacheKeyHeader: s.CacheKeyHeader, DefaultDeadlineMS: s.DefaultDeadlineMs,
	}
	if m.ShiftWindowMS == 0 {
		m.ShiftWindowMS = model.DefaultShiftWindow.Milliseconds()
	}
	if m.ShiftCap == 0 {
		m.ShiftCap = model.DefaultShiftCap
	}
	for _, b := range s.BackendServers {
		m.BackendServers = append(m.BackendServers, model.BackendServer{
			Name: b.GetName(), Address: b.GetAddress(), Zone: b.GetZone(),
			Slots: int(b.GetSlots()), Connections: int(b.GetConnections()), Leaving: b.GetLeaving(),
		})
	}
	for _, r := range s.Repeatable {
		m.Repeatable = append(m.Repeatable, model.RepeatableRule{Method: r.GetMethod(), PathPrefix: r.GetPathPrefix()})
	}
	for _, p := range s.Shifts {
		m.Shifts = append(m.Shifts, model.PlannedShift{FromRegion: p.GetFromRegion(), ToRegion: p.GetToRegion(), Share: p.GetShare()})
	}
	return m
}

// ToSpec converts a service to its gRPC message.
func ToSpec(m *model.Service) *pb.ServiceSpec {
	if m == nil {
		return nil
	}
	s := &pb.ServiceSpec{
		Name: m.Name, ShiftCap: m.ShiftCap, ShiftWindowMs: m.ShiftWindowMS,
		AllowedRegions: m.AllowedRegions, CacheKeyHeader: m.CacheKeyHeader, DefaultDeadlineMs: m.DefaultDeadlineMS,
	}
	for _, b := range m.BackendServers {
		s.BackendServers = append(s.BackendServers, &pb.BackendServer{
			Name: b.Name, Address: b.Address, Zone: b.Zone,
			Slots: int32(b.Slots), Connections: int32(b.Connections), Leaving: b.Leaving,
		})
	}
	for _, r := range m.Repeatable {
		s.Repeatable = append(s.Repeatable, &pb.RepeatableRule{Method: r.Method, PathPrefix: r.PathPrefix})
	}
	for _, p := range m.Shifts {
		s.Shifts = append(s.Shifts, &pb.PlannedShift{FromRegion: p.FromRegion, ToRegion: p.ToRegion, Share: p.Share})
	}
	return s
}

func toReply(o *config.Object) *pb.ServiceReply {
	spec := ToSpec(o.Service)
	if spec == nil {
		spec = &pb.ServiceSpec{Name: o.Name}
	}
	return &pb.ServiceReply{Spec: spec, Revision: o.Revision, ChangeId: o.ChangeID, Deleted: o.Deleted}
}
