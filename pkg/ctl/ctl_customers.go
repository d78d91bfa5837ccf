package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"

	"github.com/stoneworks/stoneworks/pkg/standing"
)

// verbCustomers shows what has become of customers' requests, summed over boxes.
func verbCustomers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		boxes, problems, err := askBoxes[standing.Box](ctx, args, standing.Path)
		if err != nil {
			return err
		}
		return errors.Join(append(problems, p.printCustomers(boxes))...)
	}
}

func (p *program) printCustomers(boxes []standing.Box) error {
	if p.output == "json" {
		return json.NewEncoder(p.stdout).Encode(boxes)
	}
	return standing.Print(p.stdout, standing.Sum(boxes))
}
