package rpc

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/platform"
)

// toStatus converts an error to the gRPC status that operators get. Invalid fields and
// conflicts carry machine-readable details.
func toStatus(err error) error {
	var invalid *model.InvalidError
	var conflict *config.ConflictError
	var missing *config.NotFoundError
	var unknown *config.UnknownWriteError
	var down *platform.UnavailableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return withDetails(codes.InvalidArgument, err, faultDetails(invalid)...)
	case errors.As(err, &conflict):
		return withDetails(codes.Aborted, err, &pb.Conflict{CurrentRevision: conflict.Current})
	case errors.As(err, &missing):
		return status.Error(codes.NotFound, err.Error())
	case errors.As(err, &unknown):
		// The change may or may not have been stored.
		return status.Error(codes.Unknown, err.Error())
	case errors.As(err, &down):
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

func faultDetails(e *model.InvalidError) []protoadapt.MessageV1 {
	var details []protoadapt.MessageV1
	for _, f := range e.Faults {
		details = append(details, &pb.FieldFault{Field: f.Field, Problem: f.Problem, Allowed: f.Allowed})
	}
	return details
}

func withDetails(code codes.Code, err error, details ...protoadapt.MessageV1) error {
	s := status.New(code, err.Error())
	if detailed, failure := s.WithDetails(details...); failure == nil {
		return detailed.Err()
	}
	return s.Err()
}
