package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/test/heap"
)

// decodeNumbers decodes a body with a list of numbers.
func decodeNumbers(text string, limit int64) (at int, items []int, err error) {
	var body struct {
		At int `json:"at"`
	}
	err = DecodeLists(strings.NewReader(text), limit, &body, Lists{"items": func(d *json.Decoder) error {
		var n int
		err := d.Decode(&n)
		items = append(items, n)
		return err
	}})
	return body.At, items, err
}

// TestDecodeLists checks that lists are found wherever they stand, and what is an error.
func TestDecodeLists(t *testing.T) {
	for _, text := range []string{
		`{"items":[1,2],"at":7}`, ` {"at":7,"items":[1,2]} `, `{"other":{"items":[9]},"items":[1,2],"more":[[]],"at":7}`,
	} {
		is := is.New(t)
		at, items, err := decodeNumbers(text, 1000)
		is.NoErr(err)
		is.Equal(at, 7)
		is.Equal(items, []int{1, 2})
	}
	for _, text := range []string{`{}`, `{"items":null}`, `{"items":[]}`} {
		is := is.New(t)
		_, items, err := decodeNumbers(text, 1000)
		is.NoErr(err)
		is.Equal(len(items), 0)
	}
	for _, text := range []string{
		``, `null`, `[]`, `7`, `{"items":7}`, `{"items":{}}`, `{"items":[1,"a"]}`, `{"items":[1`, `{"items":[1]`, `{"items":[1],`, `{"items":[1],"at":7`,
		`{"items":[1],"at":"a"}`, `{"items":[1]}{}`, `{"items":[1]}]`, `{"items":[1 2]}`, `{1:[1]}`,
	} {
		_, _, err := decodeNumbers(text, 1000)
		if err == nil {
			t.Errorf("%s is no error", text)
		}
	}
	var tooLong *exchange.TooLongError
	_, items, err := decodeNumbers(`{"items":[1,2,3,4,5,6,7,8,9]}`, 4*minValue)
	is.New(t).True(errors.As(err, &tooLong))
	is.New(t).Equal(items, []int{1, 2, 3, 4}) // short values count for what they take once decoded
	_, _, err = decodeNumbers(`{"items":[1,2],"more":"`+strings.Repeat("a", 4*minValue)+`"}`, 4*minValue)
	is.New(t).True(errors.As(err, &tooLong))
}

// TestLongListsAreNotHeld guards against a box that holds the whole text of a list beside the objects
// that it is decoded into.
func TestLongListsAreNotHeld(t *testing.T) {
	is := is.New(t)
	const length, count = 100 << 10, 300
	value := `{"a":"` + strings.Repeat("a", length) + `"}`
	parts := []io.Reader{strings.NewReader(`{"items":[` + value)}
	for range count - 1 {
		parts = append(parts, strings.NewReader(","), strings.NewReader(value))
	}
	parts = append(parts, strings.NewReader(`]}`))
	before, held, seen := heap.Live(), 0, 0
	err := DecodeLists(io.MultiReader(parts...), length*count*2, &struct{}{}, Lists{"items": func(d *json.Decoder) error {
		var body struct{ A string }
		err := d.Decode(&body)
		if seen++; seen%20 == 0 {
			held = max(held, heap.Live()-before)
		}
		return err
	}})
	is.NoErr(err)
	is.Equal(seen, count)
	t.Logf("%d kB held of %d", held>>10, length*count>>10)
	is.True(held < 10*length)
}
