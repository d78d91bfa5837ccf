package httpjson

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// Lists are the arrays of a body whose values are decoded one by one, by the name of their field. Each
// function is called once a value, which it must decode.
type Lists map[string]func(d *json.Decoder) error

// minValue is how many bytes each value of a list counts at least. Short ones take more memory once
// decoded than as text.
const minValue = 256

// TypeError reports a JSON value of another type than expected.
type TypeError struct{ Want, Got string }

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("malformed answer: %s in place of %s", e.Got, e.Want)
}

// DecodeLists is Decode for a body that is an object with long arrays. The values of these are passed to
// lists, so that no more than one of them is held undecoded; the other fields are decoded into target.
// A list may have as many values as are minValue bytes long together within the limit.
// After an error, the values that were passed on belong to no complete body. The errors are those of
// Decode and of lists, and a *TypeError.
func DecodeLists(body io.Reader, limit int64, target any, lists Lists) error {
	return decodeOnly(body, limit, func(d *json.Decoder) error {
		return (&listDecoder{Decoder: d, limit: limit}).decodeFields(target, lists)
	})
}

// listDecoder decodes a body with lists, which have had that many values so far.
type listDecoder struct {
	*json.Decoder
	limit, values int64
}

func (d *listDecoder) decodeFields(target any, lists Lists) error {
	if err := d.expect('{'); err != nil {
		return err
	}
	others := map[string]json.RawMessage{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if each := lists[name]; each != nil {
			if err := d.decodeList(each); err != nil {
				return err
			}
			continue
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return err
		}
		others[name] = value
	}
	if err := d.expect('}'); err != nil {
		return err
	}
	text, err := json.Marshal(others)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}

// decodeList decodes an array, or null in place of an empty one.
func (d *listDecoder) decodeList(each func(d *json.Decoder) error) error {
	token, err := d.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return &TypeError{Want: "an array", Got: fmt.Sprintf("%.40v", token)}
	}
	for d.More() {
		if d.values++; d.values*minValue > d.limit {
			return &exchange.TooLongError{Limit: d.limit}
		}
		if err := each(d.Decoder); err != nil {
			return err
		}
	}
	return d.expect(']')
}

// expect reads the next token, which must be the one given.
func (d *listDecoder) expect(want json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if token != want {
		return &TypeError{Want: want.String(), Got: fmt.Sprintf("%.40v", token)}
	}
	return nil
}
