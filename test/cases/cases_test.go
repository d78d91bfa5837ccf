// Package cases runs the command in the file cmd of each folder beside this file and compares
// its output and exit code with the file expout there. With UPDATE_CASES=1 it writes expout
// instead.
package cases

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/ctl"
	"github.com/stoneworks/stoneworks/pkg/daemon"
)

func TestCases(t *testing.T) {
	commands, err := filepath.Glob("*/cmd")
	is.New(t).NoErr(err)
	for _, path := range commands {
		t.Run(filepath.Dir(path), func(t *testing.T) { runCase(t, filepath.Dir(path)) })
	}
}

// runCase runs the command of one folder.
func runCase(t *testing.T, dir string) {
	is := is.New(t)
	command, err := os.ReadFile(filepath.Join(dir, "cmd"))
	is.NoErr(err)
	t.Chdir(dir)
	args := strings.Fields(string(command))
	var out bytes.Buffer
	code := -1
	switch args[0] {
	case "stoneworksd":
		code = daemon.Main(args[1:], &out, &out)
	case "stoneworksctl":
		code = ctl.Main(args[1:], strings.NewReader(""), &out, &out)
	}
	got := strings.ReplaceAll(out.String(), "\u00a0", " ") + fmt.Sprintf("exit %d\n", code)
	if os.Getenv("UPDATE_CASES") != "" {
		is.NoErr(os.WriteFile("expout", []byte(got), 0o600))
		return
	}
	want, err := os.ReadFile("expout")
	is.NoErr(err)
	is.Equal(got, string(want))
}
