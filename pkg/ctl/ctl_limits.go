package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
)

// verbServers shows what backend servers report about themselves, as known to boxes.
func verbServers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, serverstatus.PathStatuses, serverstatus.PrintStatuses)
}

// verbFleet shows what boxes know of all boxes.
func verbFleet(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, gossip.PathFleet, gossip.PrintFleet)
}

// verbLimits shows the limits that backend servers name, as known to boxes.
func verbLimits(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, serverstatus.PathLimits, serverstatus.Print)
}

// showBoxes gets a path from the admin addresses of boxes and prints the answers as a table or
// as JSON.
func showBoxes[T any](p *program, path string, print func(w io.Writer, boxes []T) error) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		boxes, problems, err := queryBoxes[T](ctx, args, path)
		if err != nil {
			return err
		}
		if p.output == "json" {
			err = json.NewEncoder(p.stdout).Encode(boxes)
		} else {
			err = print(p.stdout, boxes)
		}
		return errors.Join(append(problems, err)...)
	}
}
