package ctl

import (
	"context"
	"flag"
	"io"

	"github.com/stoneworks/stoneworks/pkg/customerstats"
)

// verbCustomers shows the limits and request counts of customers, summed over boxes.
func verbCustomers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, customerstats.Path, func(w io.Writer, boxes []customerstats.Box) error {
		return customerstats.Print(w, customerstats.Sum(boxes))
	})
}
