package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// TestLimitDepth checks what is replaced, and that brackets in texts do not count.
func TestLimitDepth(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		`{"a":1}`:                       `{"a":1}`,
		`{"a":[1,2]}`:                   `{"a":[1,2]}`,
		`{"a":[1,[2,[3]],4]}`:           `{"a":[1,0,4]}`,
		`{"a":{"b":{"c":{}}},"d":[[]]}`: `{"a":{"b":0},"d":[0]}`,
		`["[[[[\"[[[\\",[[]]]`:          `["[[[[\"[[[\\",[0]]`,
	} {
		got, isCut := LimitDepth(json.RawMessage(text), 2)
		is.Equal(string(got), want)
		is.Equal(isCut, got == nil || string(got) != text)
	}
}

// TestDeepValuesDoNotHideOthers checks that values are read beside one that is nested deeper than package
// encoding/json reads, in whatever parts the text arrives.
func TestDeepValuesDoNotHideOthers(t *testing.T) {
	deep := strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)
	text := `{"items":[{"a":1},{"a":` + deep + `},{"a":"` + deep + `"}]}`
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.IntRange(1, 70_000).Draw(t, "part")
		var body struct{ Items []map[string]any }
		if err := Decode(&partReader{strings.NewReader(text), part}, 1<<20, &body); err != nil {
			t.Fatal(err)
		}
		if len(body.Items) != 3 || body.Items[0]["a"] != 1.0 || body.Items[2]["a"] != deep {
			t.Fatalf("%d items", len(body.Items))
		}
	})
}

// partReader returns at most that many bytes at a time.
type partReader struct {
	io.Reader
	part int
}

// Read implements io.Reader.
func (r *partReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.part)]) }

// TestDecode checks the errors of bodies that are not one JSON value within the limit.
func TestDecode(t *testing.T) {
	is := is.New(t)
	var target any
	is.NoErr(Decode(strings.NewReader(" [1]\n"), 5, &target))
	var tooLong *exchange.TooLongError
	is.True(errors.As(Decode(strings.NewReader("[1]   "), 5, &target), &tooLong))
	is.True(errors.As(Decode(strings.NewReader(`"1234567"`), 5, &target), &tooLong))
	var trailing *TrailingError
	is.True(errors.As(Decode(strings.NewReader("[][]"), 5, &target), &trailing))
	is.True(Decode(strings.NewReader("[1"), 5, &target) != nil)
	is.True(errors.Is(Decode(io.MultiReader(strings.NewReader("[1]"), iotest.ErrReader(io.ErrUnexpectedEOF)), 5, &target), io.ErrUnexpectedEOF))
	var field *FieldError
	is.True(errors.As(CheckFields(http.Header{"X Status": nil}), &field))
	is.NoErr(CheckFields(http.Header{"X-Status": nil}))
}
