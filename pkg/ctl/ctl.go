// Package ctl is the program stoneworksctl, the operators' command line for the calls that the
// schema file defines.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: the call failed and nothing changed.
	ExitFailed = 1
	// ExitUsage: the command line or its input is invalid.
	ExitUsage = 2
	// ExitConflict: the object was changed by somebody else first.
	ExitConflict = 3
	// ExitNotFound: there is no such object.
	ExitNotFound = 4
	// ExitUnknown: the change may or may not have been made.
	ExitUnknown = 5
	// ExitNotEverywhere: accepted, but not in force everywhere in time.
	ExitNotEverywhere = 6
)

// UsageError describes what is wrong with a command line or its input.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// NotEverywhereError lists the boxes that do not have a revision in force.
type NotEverywhereError struct {
	Missing []string
}

// Error implements error.
func (e *NotEverywhereError) Error() string {
	return fmt.Sprintf("accepted, but not yet in force at: %v", e.Missing)
}

// program is one run of the command line.
type program struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	address string
	output  string
	timeout time.Duration
	wait    bool
}

// Main runs the program and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	p := &program{stdin: stdin, stdout: stdout, stderr: stderr}
	root := p.command()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	return p.report(err)
}

// command builds the tree of commands from verbs.
func (p *program) command() *ffcli.Command {
	flags := flag.NewFlagSet("stoneworksctl", flag.ContinueOnError)
	flags.SetOutput(p.stderr)
	p.commonFlags(flags)
	root := &ffcli.Command{
		Name:       "stoneworksctl",
		ShortUsage: "stoneworksctl VERB [flags] [arguments]",
		ShortHelp:  "create, read, change and watch services",
		LongHelp: "Exit codes: 0 done, 1 failed and nothing changed, 2 usage, 3 conflict,\n" +
			"4 not found, 5 unknown whether done, 6 not in force everywhere in time.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("STONEWORKSCTL")},
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, v := range verbs {
		root.Subcommands = append(root.Subcommands, v.command(p))
	}
	return root
}

func (p *program) commonFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.address, "box", "127.0.0.1:7003", "operators' address of any box")
	flags.StringVar(&p.output, "output", "table", "table or json")
	flags.DurationVar(&p.timeout, "timeout", 15*time.Second, "how long the whole command may take")
}

// verb is one subcommand.
type verb struct {
	name  string
	usage string
	help  string
	// flags adds the verb's own flags and returns the function that runs it.
	flags func(p *program, f *flag.FlagSet) func(ctx context.Context, args []string) error
}

func (v verb) command(p *program) *ffcli.Command {
	flags := flag.NewFlagSet("stoneworksctl "+v.name, flag.ContinueOnError)
	flags.SetOutput(p.stderr)
	p.commonFlags(flags)
	return &ffcli.Command{
		Name: v.name, ShortUsage: "stoneworksctl " + v.usage, ShortHelp: v.help,
		FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix("STONEWORKSCTL")},
		Exec: v.flags(p, flags),
	}
}

// dial opens a connection to the operators' address of a box.
func (p *program) dial(address string) (pb.OperatorsClient, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, &UsageError{Problem: err.Error()}
	}
	return pb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// withClient calls f with a client of the chosen box.
func (p *program) withClient(f func(pb.OperatorsClient) error) error {
	client, done, err := p.dial(p.address)
	if err != nil {
		return err
	}
	defer done()
	return f(client)
}

// report prints an error and returns its exit code.
func (p *program) report(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *UsageError
	var boxError *BoxError
	var missing *NotEverywhereError
	s, _ := status.FromError(err)
	fmt.Fprintln(p.stderr, "stoneworksctl:", s.Message())
	for _, d := range s.Details() {
		switch d := d.(type) {
		case *pb.Conflict:
			fmt.Fprintf(p.stderr, "  current revision: %d\n", d.CurrentRevision)
		case *pb.FieldFault:
			fmt.Fprintf(p.stderr, "  %s: %s; allowed: %s\n", d.Field, d.Problem, d.Allowed)
		}
	}
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &boxError) && boxError.MayHaveChanged:
		return ExitUnknown
	case errors.As(err, &boxError):
		return ExitFailed
	case errors.As(err, &missing):
		return ExitNotEverywhere
	}
	return exitCodeOf(s.Code())
}

func exitCodeOf(c codes.Code) int {
	switch c {
	case codes.InvalidArgument:
		return ExitUsage
	case codes.Aborted, codes.AlreadyExists:
		return ExitConflict
	case codes.NotFound:
		return ExitNotFound
	case codes.Unknown, codes.DeadlineExceeded:
		return ExitUnknown
	}
	return ExitFailed
}
