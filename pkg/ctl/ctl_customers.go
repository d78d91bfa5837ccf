package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"

	"github.com/stoneworks/stoneworks/pkg/standing"
)

// BoxError says that a box did not tell what it was asked.
type BoxError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *BoxError) Error() string { return e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BoxError) Unwrap() error { return e.Cause }

// AnswerError is an answer of a box that is not what was asked for.
type AnswerError struct{ Status int }

// Error implements error.
func (e *AnswerError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// verbCustomers shows what has become of customers' requests, summed over boxes.
func verbCustomers(p *program, _ *flag.FlagSet) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) == 0 {
			return &UsageError{Problem: "needed: ADDRESS..., the admin addresses of boxes"}
		}
		var boxes []standing.Box
		var problems []error
		for _, address := range args {
			b, err := askCustomers(ctx, address)
			if err != nil {
				problems = append(problems, &BoxError{Address: address, Cause: err})
				continue
			}
			boxes = append(boxes, *b)
		}
		if err := p.printCustomers(boxes); err != nil {
			return err
		}
		return errors.Join(problems...)
	}
}

func (p *program) printCustomers(boxes []standing.Box) error {
	if p.output == "json" {
		return json.NewEncoder(p.stdout).Encode(boxes)
	}
	return standing.Print(p.stdout, standing.Sum(boxes))
}

func askCustomers(ctx context.Context, address string) (*standing.Box, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+standing.Path, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, &AnswerError{Status: answer.StatusCode}
	}
	b := &standing.Box{}
	return b, json.NewDecoder(answer.Body).Decode(b)
}
