// Package httpjson reads answers with a JSON body that net/http has received.
//
// net/http accepts header fields whose names hold blanks, such as "Content-Length : 5", and does not
// apply them. A decoder of JSON stops behind the first value, and so neither finds a body that is cut
// off behind it nor bytes that belong to something else. Such an answer is an error here. A value that
// is nested very deep makes a decoder fail for the whole text; here it is left out.
package httpjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// FieldError reports a header field whose name is not a token of RFC 9110, section 5.6.2.
type FieldError struct{ Name string }

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("malformed answer: field name %.40q", e.Name) }

// TrailingError reports that more than one JSON value is in a body.
type TrailingError struct{}

// Error implements error.
func (e *TrailingError) Error() string { return "malformed answer: more than one JSON value" }

// CheckFields checks the names of an answer's header fields. The error is a *FieldError.
func CheckFields(h http.Header) error {
	for name := range h {
		if !exchange.IsToken([]byte(name)) {
			return &FieldError{Name: name}
		}
	}
	return nil
}

// Decode reads a body to its end, which must be one JSON value of at most limit bytes, and decodes it.
// Arrays and objects that are nested deeper than maxDepth are replaced; see LimitDepth. The error is a
// *TrailingError, an *exchange.TooLongError, one of package json, or that of reading the body.
func Decode(body io.Reader, limit int64, target any) error {
	return decodeOnly(body, limit, func(d *json.Decoder) error { return d.Decode(target) })
}

// decodeOnly reads a body to its end, which must be the one value that decode decodes.
func decodeOnly(body io.Reader, limit int64, decode func(d *json.Decoder) error) error {
	bounded := &io.LimitedReader{R: body, N: limit + 1}
	d := json.NewDecoder(&depthReader{from: bounded, limit: depthLimit{levels: maxDepth}})
	err := decode(d)
	if err == nil {
		err = decodeEnd(d)
	}
	if bounded.N <= 0 {
		return &exchange.TooLongError{Limit: limit}
	}
	return err
}

func decodeEnd(d *json.Decoder) error {
	_, err := d.Token()
	switch {
	case err == nil:
		return &TrailingError{}
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
