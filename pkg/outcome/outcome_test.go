package outcome

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReasonsAreDocumented checks that the callers' page lists the table of reasons. Run it
// with UPDATE_DOCS=1 to rewrite the page.
func TestReasonsAreDocumented(t *testing.T) {
	is := is.New(t)
	const page = "../../docs/callers.md"
	text, err := os.ReadFile(page)
	is.NoErr(err)
	head, _, found := strings.Cut(string(text), "## Reasons\n")
	is.True(found)
	var b strings.Builder
	b.WriteString(head + "## Reasons\n\n| Reason | Status | Meaning |\n|---|---|---|\n")
	for _, r := range Reasons {
		fmt.Fprintf(&b, "| `%s` | %d | %s |\n", r.Reason, r.Status, r.Meaning)
	}
	if os.Getenv("UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(page, []byte(b.String()), 0o600))
		return
	}
	is.Equal(string(text), b.String())
}
