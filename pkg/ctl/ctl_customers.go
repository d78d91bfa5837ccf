package ctl

import (
	"context"
	"flag"
	"io"

	"github.com/stoneworks/stoneworks/pkg/standing"
)

// verbCustomers shows what has become of customers' requests, summed over boxes.
func verbCustomers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, standing.Path, func(w io.Writer, boxes []standing.Box) error {
		return standing.Print(w, standing.Sum(boxes))
	})
}
