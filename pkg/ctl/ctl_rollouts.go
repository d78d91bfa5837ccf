package ctl

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// verbRollouts shows orders to move services to new versions, as boxes see them.
func verbRollouts(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return showBoxes(p, rollout.Path, rollout.Print)
}

// verbRollout asks something of an order through one box, which writes it to the platform's store.
func verbRollout(_ *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "REQUEST", "SERVICE", "ADDRESS"); err != nil {
			return err
		}
		request := rollout.Request(args[0])
		if !request.IsKnown() {
			return &UsageError{Problem: (&rollout.UnknownRequestError{Request: request}).Error()}
		}
		path := rollout.Path + "/" + url.PathEscape(args[1]) + "/" + string(request)
		if err := callBox(ctx, http.MethodPost, args[2], path, nil); err != nil {
			return &BoxError{Address: args[2], Cause: err}
		}
		return nil
	}
}
