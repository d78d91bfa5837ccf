package rpc

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// TestFromSpecSetsDefaults checks that a service whose operator set neither a shift cap nor its
// window gets the defaults: with a cap of 0 its traffic could never change region.
func TestFromSpecSetsDefaults(t *testing.T) {
	is := is.New(t)
	unset := FromSpec(&pb.ServiceSpec{Name: "shop"})
	is.Equal(unset.ShiftCap, model.DefaultShiftCap)
	is.Equal(unset.ShiftWindowMS, model.DefaultShiftWindow.Milliseconds())
	set := FromSpec(&pb.ServiceSpec{Name: "shop", ShiftCap: 0.25, ShiftWindowMs: 500})
	is.Equal(set.ShiftCap, 0.25)
	is.Equal(set.ShiftWindowMS, int64(500))
}
