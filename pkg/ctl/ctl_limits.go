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

// verbServers shows what backend servers say of themselves, as boxes know it.
func verbServers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, serverstatus.PathStatuses, serverstatus.PrintStatuses)
}

// verbFleet shows what boxes know of all boxes.
func verbFleet(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, gossip.PathFleet, gossip.PrintFleet)
}

// verbLimits shows which limits backend servers name, as boxes know them.
func verbLimits(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, serverstatus.PathLimits, serverstatus.Print)
}

// showBoxes asks boxes for what they tell at a path of their admin addresses, and prints it as a
// table, or as JSON.
func showBoxes[T any](p *program, path string, print func(w io.Writer, boxes []T) error) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		boxes, problems, err := askBoxes[T](ctx, args, path)
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
