// Package bench is the program behind `make bench`. It runs deployments as separate processes,
// measures them and prints lines "MEASURE name value unit".
package bench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/rpc"
	"github.com/stoneworks/stoneworks/test/harness"
)

// bench is one run of the program.
type bench struct {
	bin    string
	sizes  []string
	stdout io.Writer
}

// Main runs the measurements and returns the exit code: 1 if one fails, 2 for wrong flags.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("stoneworks-bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	bin := flags.String("bin", "bin", "directory of the programs")
	sizes := flags.String("boxes", "6 12 24 48 72", "numbers of boxes of the deployments measured without requests")
	what := flags.String("what", "all", "what to measure: latency, boxes, services or all")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	b := &bench{bin: *bin, stdout: stdout, sizes: strings.Fields(*sizes)}
	steps := map[string][]func() error{
		"latency":  {b.latency},
		"boxes":    {b.controlByBoxes},
		"services": {b.controlByServices},
		"all":      {b.latency, b.controlByBoxes, b.controlByServices},
	}
	for _, step := range steps[*what] {
		if err := step(); err != nil {
			fmt.Fprintln(stderr, err)
			return 1
		}
	}
	return 0
}

// measure prints one measurement.
func (b *bench) measure(name string, value float64, unit string) {
	fmt.Fprintf(b.stdout, "MEASURE %s %.4g %s\n", name, value, unit)
}

// withDeployment starts a deployment of the shape, creates its services, runs f and stops the
// deployment.
func (b *bench) withDeployment(shape harness.Shape, f func(*harness.Deployment) error) error {
	dir, err := os.MkdirTemp("", "stoneworks-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := harness.New(shape, dir, b.bin)
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return err
	}
	for i := range shape.Services {
		if _, err := createService(d, i); err != nil {
			return err
		}
	}
	return f(d)
}

// operatorsClient returns a client of the first box's operator interface, and a function that
// closes it.
func operatorsClient(d *harness.Deployment) (pb.OperatorsClient, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+d.Operators(0), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, err
	}
	return pb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// createService creates service i of the deployment's shape.
func createService(d *harness.Deployment, i int) (*pb.ServiceReply, error) {
	client, done, err := operatorsClient(d)
	if err != nil {
		return nil, err
	}
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.CreateService(ctx, &pb.CreateServiceRequest{Spec: rpc.ToSpec(d.Service(i))})
}
