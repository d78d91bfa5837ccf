// Package rpc implements the operators' gRPC service.
package rpc

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// MaxChangeID is the maximum length of an operator's change id in bytes.
const MaxChangeID = 128

// Operators implements the gRPC service Operators.
type Operators struct {
	pb.UnimplementedOperatorsServer

	Store  *config.Store
	Apply  func(ctx context.Context, c config.Change) (*config.Object, error)
	Status func() *pb.StatusReply
	// ExplainRoute returns the route that a request would take.
	ExplainRoute func(r *pb.ExplainRequest) (*pb.ExplainReply, error)
	KnownZone    func(string) bool
	KnownRegion  func(string) bool

	mu       sync.Mutex
	watchers map[chan struct{}]bool
}

// NewServer makes a gRPC server of the service.
func NewServer(o *Operators) *grpc.Server {
	s := grpc.NewServer()
	pb.RegisterOperatorsServer(s, o)
	return s
}

// CreateService creates a service.
func (o *Operators) CreateService(ctx context.Context, r *pb.CreateServiceRequest) (*pb.ServiceReply, error) {
	return o.change(ctx, r.GetSpec(), 0, r.GetChangeId())
}

// UpdateService replaces a service if its revision is the expected one.
func (o *Operators) UpdateService(ctx context.Context, r *pb.UpdateServiceRequest) (*pb.ServiceReply, error) {
	if r.GetExpectedRevision() == 0 {
		return nil, toStatus(&model.InvalidError{Faults: []model.Fault{
			{Field: "expected_revision", Problem: "0", Allowed: "the revision that was read"},
		}})
	}
	return o.change(ctx, r.GetSpec(), r.GetExpectedRevision(), r.GetChangeId())
}

func (o *Operators) change(ctx context.Context, spec *pb.ServiceSpec, expected uint64, id string) (*pb.ServiceReply, error) {
	service := FromSpec(spec)
	if err := service.Check(o.KnownZone, o.KnownRegion); err != nil {
		return nil, toStatus(err)
	}
	return o.apply(ctx, config.Change{Name: service.Name, Expected: expected, ChangeID: id, Service: service})
}

// DeleteService deletes a service if its revision is the expected one.
func (o *Operators) DeleteService(ctx context.Context, r *pb.DeleteServiceRequest) (*pb.ServiceReply, error) {
	if !model.ValidName(r.GetName()) {
		return nil, toStatus(&config.NotFoundError{Name: r.GetName()})
	}
	return o.apply(ctx, config.Change{Name: r.GetName(), Expected: r.GetExpectedRevision(), ChangeID: r.GetChangeId()})
}

func (o *Operators) apply(ctx context.Context, c config.Change) (*pb.ServiceReply, error) {
	if len(c.ChangeID) > MaxChangeID {
		return nil, status.Error(codes.InvalidArgument, "change_id: allowed are at most 128 bytes")
	}
	if c.ChangeID == "" {
		c.ChangeID = newChangeID()
	}
	object, err := o.Apply(ctx, c)
	if err != nil {
		return nil, toStatus(err)
	}
	return toReply(object), nil
}

// GetService returns one service.
func (o *Operators) GetService(_ context.Context, r *pb.GetServiceRequest) (*pb.ServiceReply, error) {
	object := o.Store.Get(r.GetName())
	if object == nil || !object.IsService() {
		return nil, toStatus(&config.NotFoundError{Name: r.GetName()})
	}
	return toReply(object), nil
}

// ListServices returns all services.
func (o *Operators) ListServices(context.Context, *pb.ListServicesRequest) (*pb.ListServicesReply, error) {
	reply := &pb.ListServicesReply{}
	for _, object := range o.Store.All() {
		if object.IsService() {
			reply.Services = append(reply.Services, toReply(object))
		}
	}
	return reply, nil
}

// GetStatus returns the status of the system as seen by this box.
func (o *Operators) GetStatus(context.Context, *pb.GetStatusRequest) (*pb.StatusReply, error) {
	return o.Status(), nil
}

// Explain returns the route that a request would take.
func (o *Operators) Explain(_ context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	reply, err := o.ExplainRoute(r)
	if err != nil {
		return nil, toStatus(err)
	}
	return reply, nil
}

func newChangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
