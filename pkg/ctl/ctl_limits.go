package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"

	"github.com/stoneworks/stoneworks/pkg/serverstatus"
)

// verbLimits shows which limits backend servers name, as boxes know them.
func verbLimits(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		boxes, problems, err := askBoxes[serverstatus.Box](ctx, args, serverstatus.Path)
		if err != nil {
			return err
		}
		if p.output == "json" {
			err = json.NewEncoder(p.stdout).Encode(boxes)
		} else {
			err = serverstatus.Print(p.stdout, boxes)
		}
		return errors.Join(append(problems, err)...)
	}
}
