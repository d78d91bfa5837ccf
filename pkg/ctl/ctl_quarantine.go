package ctl

import (
	"context"
	"flag"
	"net/http"

	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// verbQuarantine shows which requests boxes hold in quarantine.
func verbQuarantine(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, quarantine.Path, quarantine.Print)
}

// verbRelease releases a request from quarantine at one box, which makes all boxes release it.
func verbRelease(_ *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "FINGERPRINT", "ADDRESS"); err != nil {
			return err
		}
		f, err := quarantine.ParseFingerprint(args[0])
		if err != nil {
			return &UsageError{Problem: err.Error()}
		}
		if err := callBox(ctx, http.MethodDelete, args[1], quarantine.Path+"/"+f.String(), nil); err != nil {
			return &BoxError{Address: args[1], Cause: err, MayHaveChanged: mayHaveReached(err)}
		}
		return nil
	}
}
