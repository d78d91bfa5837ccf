// Package demo is the program behind `make demo`. It runs a whole deployment as separate
// processes, sends it a load and injects faults meanwhile.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/stoneworks/stoneworks/pkg/rpc"
	"github.com/stoneworks/stoneworks/test/harness"
)

// The load of the demo, and how long after its start each fault begins.
const (
	clientsPerZone    = 6
	requestsPerClient = 150
	requestInterval   = 40 * time.Millisecond
	requestTimeout    = 8 * time.Second
	drainAfter        = 1500 * time.Millisecond
	freezeAfter       = 3 * time.Second
	freezeFor         = 2500 * time.Millisecond
	killAfter         = 6 * time.Second
)

// demo is one run of the program. drained is the backend server that it drains, accepted the
// time from which that drain is measured.
type demo struct {
	deployment *harness.Deployment
	stdout     io.Writer
	drained    string
	accepted   time.Time
}

// Main runs the demo and returns its exit code: 1 if the run fails or an answer is wrong, 2 for
// wrong flags.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("stoneworks-demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	shapeName := flags.String("shape", "sonotheque", "sonotheque or sabarmati")
	bin := flags.String("bin", "bin", "directory of the programs")
	keep := flags.Bool("keep", false, "keep the logs")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	shape, ok := harness.Shapes[*shapeName]
	if !ok {
		fmt.Fprintf(stderr, "unknown shape %q\n", *shapeName)
		return 2
	}
	dir, err := os.MkdirTemp("", "stoneworks-demo-")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	if *keep {
		fmt.Fprintln(stdout, "logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	deployment, err := harness.New(shape, dir, *bin)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	defer deployment.Stop()
	d := &demo{deployment: deployment, stdout: stdout}
	wrong, err := d.run()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	if len(wrong) > 0 {
		for _, w := range wrong {
			fmt.Fprintln(stderr, "wrong:", w)
		}
		return 1
	}
	return 0
}

// run runs the demo and returns the errors found in answers and records.
func (d *demo) run() ([]string, error) {
	shape := d.deployment.Shape
	fmt.Fprintf(d.stdout, "starting %s: %d boxes in %d zones, %d services\n", shape.Name, shape.Boxes, len(shape.Zones()), len(shape.Services))
	if err := d.deployment.Start(); err != nil {
		return nil, err
	}
	if err := d.createServices(); err != nil {
		return nil, err
	}
	load := &harness.Load{
		Deployment: d.deployment, Clients: clientsPerZone, Requests: requestsPerClient,
		Pause: requestInterval, Timeout: requestTimeout, NewRequest: harness.MixedRequests,
	}
	var failures error
	wg := conc.NewWaitGroup()
	wg.Go(func() { failures = d.injectFaults() })
	samples := load.Run(context.Background())
	wg.Wait()
	if failures != nil {
		return nil, failures
	}
	records, err := d.deployment.Records()
	if err != nil {
		return nil, err
	}
	d.printTable(samples)
	last := time.UnixMilli(records[d.drained].LastRequestMs)
	fmt.Fprintf(d.stdout, "drain of %s: last new request %d ms after acceptance\n", d.drained, max(last.Sub(d.accepted).Milliseconds(), 0))
	wrong := harness.CheckRuns(samples, records)
	t := harness.Count(samples)
	fmt.Fprintf(d.stdout, "demo: %d requests, %d answered, %d not run, %d unknown, %d wrong\n", t.Requests, t.Answered, t.NotRun, t.Unknown, len(wrong))
	return wrong, nil
}

// createServices creates the shape's services and waits for each with stoneworksctl.
func (d *demo) createServices() error {
	for i, s := range d.deployment.Shape.Services {
		path := filepath.Join(d.deployment.Dir, s.Name+".json")
		text, err := protojson.Marshal(rpc.ToSpec(d.deployment.Service(i)))
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		if err := d.ctl("create", "-wait", path); err != nil {
			return err
		}
	}
	return nil
}

// ctl runs a stoneworksctl command against the first box.
func (d *demo) ctl(verb string, args ...string) error {
	args = append([]string{verb, "-box", d.deployment.Operators(0)}, args...)
	cmd := exec.Command(filepath.Join(d.deployment.BinDir, "stoneworksctl"), args...)
	cmd.Stdout, cmd.Stderr = d.stdout, d.stdout
	return cmd.Run()
}

// injectFaults drains a backend server, freezes one box and kills another.
func (d *demo) injectFaults() error {
	shape := d.deployment.Shape
	last := shape.Boxes - 1
	time.Sleep(drainAfter)
	d.drained = shape.Services[0].Name + "-1"
	// The drain is accepted during the command, so counting from its start can only make the
	// measured delay longer.
	d.accepted = time.Now()
	if err := d.ctl("drain", "-wait", shape.Services[0].Name, d.drained); err != nil {
		return err
	}
	time.Sleep(freezeAfter - drainAfter)
	fmt.Fprintf(d.stdout, "freezing box %s for %s\n", shape.BoxName(1), freezeFor)
	d.deployment.Freeze(1)
	time.Sleep(freezeFor)
	d.deployment.Thaw(1)
	time.Sleep(killAfter - freezeAfter - freezeFor)
	fmt.Fprintf(d.stdout, "killing box %s\n", shape.BoxName(last))
	d.deployment.Kill(last)
	return nil
}

// printTable prints the totals of the samples by client zone.
func (d *demo) printTable(samples []harness.Sample) {
	byZone := map[string][]harness.Sample{}
	for _, s := range samples {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	zones := make([]string, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	w := tabwriter.NewWriter(d.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "CLIENTS OF\tREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tP50 MS\tP99 MS\tREASONS")
	for _, z := range zones {
		t := harness.Count(byZone[z])
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\n", z, t.Requests, t.Answered, t.NotRun, t.Unknown,
			ms(t.P50), ms(t.P99), harness.Reasons(byZone[z]))
	}
	_ = w.Flush()
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
