package timer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// monotonicPackages decide by time spans, which a step of the wall clock must not change.
var monotonicPackages = []string{"backend", "canary", "customer", "directory", "failurereport", "gossip", "objects", "quota", "retry", "rollout", "routing", "storepoller"}

// timeOfDay are the methods of time.Time that read the wall clock where the monotonic clock is
// required. With them, a forward step of the wall clock empties the windows of retries and of
// shifts.
var timeOfDay = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Truncate": true, "UTC": true, "Local": true}

func TestCoreReadsNoTimeOfDay(t *testing.T) {
	is := is.New(t)
	for _, name := range monotonicPackages {
		files, err := filepath.Glob("../" + name + "/*.go")
		is.NoErr(err)
		is.True(len(files) > 0)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			is.NoErr(err)
			file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
			is.NoErr(err)
			ast.Inspect(file, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok && timeOfDay[s.Sel.Name] {
					t.Errorf("%s uses %s", path, s.Sel.Name)
				}
				return true
			})
		}
	}
}
