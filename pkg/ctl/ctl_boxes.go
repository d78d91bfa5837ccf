package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/stoneworks/stoneworks/pkg/httpjson"
)

// ================================================================
// Calls of boxes at their admin addresses.
// ================================================================

// BoxError reports that a call of a box failed.
type BoxError struct {
	Address string
	Cause   error
	// MayHaveChanged is set if the call was to change something and may have done so.
	MayHaveChanged bool
}

// Error implements error.
func (e *BoxError) Error() string { return e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BoxError) Unwrap() error { return e.Cause }

// AnswerError reports that a box answered with an unexpected status.
type AnswerError struct{ Status int }

// Error implements error.
func (e *AnswerError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// queryBoxes gets the same path from each address. The problems are the failed calls, each a
// *BoxError; the error is a *UsageError.
func queryBoxes[T any](ctx context.Context, addresses []string, path string) (answers []T, problems []error, err error) {
	if len(addresses) == 0 {
		return nil, nil, &UsageError{Problem: "needed: ADDRESS..., the admin addresses of boxes"}
	}
	for _, address := range addresses {
		var one T
		if err := callBox(ctx, http.MethodGet, address, path, &one); err != nil {
			problems = append(problems, &BoxError{Address: address, Cause: err})
			continue
		}
		answers = append(answers, one)
	}
	return answers, problems, nil
}

// mayHaveReached reports whether a call that failed with this error may have been carried out: no
// box has answered it, and a connection was made.
func mayHaveReached(err error) bool {
	var answer *AnswerError
	var network *net.OpError
	return !errors.As(err, &answer) && !(errors.As(err, &network) && network.Op == "dial")
}

// maxAnswer is the longest answer of a box in bytes.
const maxAnswer = 64 << 20

// callBox makes one call and decodes its answer into the target, unless the target is nil. The
// error is an *AnswerError or that of the connection.
func callBox(ctx context.Context, method, address, path string, target any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusNoContent {
		return &AnswerError{Status: answer.StatusCode}
	}
	if err := httpjson.CheckFields(answer.Header); err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return httpjson.Decode(answer.Body, maxAnswer, target)
}
