package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/test/harness"
)

// measureTime is the length of each measurement.
const measureTime = 10 * time.Second

// controlByBoxes measures the control traffic and resources of a box without requests, for
// different numbers of boxes in three regions.
func (b *bench) controlByBoxes() error {
	for _, size := range b.sizes {
		boxes, err := strconv.Atoi(size)
		if err != nil {
			return err
		}
		shape := harness.Shape{
			Name: "rest", Regions: []string{"one", "two", "three"}, Boxes: boxes, Slots: 4,
			Services: []harness.ServiceShape{{Name: "shop", Servers: 12, ServiceMS: 1}},
		}
		if err := b.withDeployment(shape, func(d *harness.Deployment) error { return b.measureIdle(d, fmt.Sprintf("control.boxes.%d", boxes)) }); err != nil {
			return err
		}
	}
	return nil
}

// controlByServices measures the same for different numbers of services, first without changes
// and then while a service is changed.
func (b *bench) controlByServices() error {
	for _, services := range []int{1, 10, 40} {
		shape := harness.Shape{Name: "services", Regions: []string{"one", "two", "three"}, Boxes: 12, Slots: 4}
		for i := range services {
			shape.Services = append(shape.Services, harness.ServiceShape{Name: fmt.Sprintf("s%d", i), Servers: 1, ServiceMS: 1})
		}
		name := fmt.Sprintf("control.services.%d", services)
		if err := b.withDeployment(shape, func(d *harness.Deployment) error {
			if err := b.measureIdle(d, name); err != nil {
				return err
			}
			return b.measureChanges(d, name+".changes")
		}); err != nil {
			return err
		}
	}
	return nil
}

// usage is the processor time, peer traffic in bytes and peer calls since the start of the boxes.
type usage struct {
	cpu   time.Duration
	bytes float64
	calls float64
}

// measureIdle measures a deployment without requests or changes, 3 s after its services were
// created.
func (b *bench) measureIdle(d *harness.Deployment, name string) error {
	time.Sleep(3 * time.Second)
	return b.measureDuring(d, name, func() error {
		time.Sleep(measureTime)
		return nil
	})
}

// measureChanges measures while it updates one service up to 20 times a second.
func (b *bench) measureChanges(d *harness.Deployment, name string) error {
	client, done, err := operatorsClient(d)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	service := d.Shape.Services[0].Name
	return b.measureDuring(d, name, func() error {
		for end := time.Now().Add(measureTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			current, err := client.GetService(ctx, &pb.GetServiceRequest{Name: service})
			if err != nil {
				return err
			}
			if _, err := client.UpdateService(ctx, &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision}); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureDuring prints the mean usage of a box while f runs, the highest peak memory of any box,
// and the rate of calls to the platform.
func (b *bench) measureDuring(d *harness.Deployment, name string, f func() error) error {
	before, began, calls := b.totalUsage(d), time.Now(), d.PlatformCalls()
	if err := f(); err != nil {
		return err
	}
	after, took := b.totalUsage(d), time.Since(began).Seconds()
	n := float64(d.Shape.Boxes)
	memory := int64(0)
	for i := range d.Shape.Boxes {
		memory = max(memory, d.PeakMemory(i))
	}
	total := 0
	for verb, count := range d.PlatformCalls() {
		total += count - calls[verb]
	}
	b.measure(name+".cpu", 100*(after.cpu-before.cpu).Seconds()/took/n, "%core")
	b.measure(name+".bytes_sent", (after.bytes-before.bytes)/took/n, "B/s")
	b.measure(name+".peer_calls", (after.calls-before.calls)/took/n, "calls/s")
	b.measure(name+".memory", float64(memory)/(1<<20), "MB")
	b.measure(name+".platform_calls", float64(total)/took, "calls/s")
	return nil
}

// totalUsage returns the sum of the usage of all boxes.
func (b *bench) totalUsage(d *harness.Deployment) usage {
	var sum usage
	for i := range d.Shape.Boxes {
		sum.cpu += d.CPU(i)
		sum.bytes += metric(d.Admin(i), "peer.bytes")
		sum.calls += metric(d.Admin(i), "peer.calls")
	}
	return sum
}

// metric returns the count of a box's metric, or 0 if it cannot be read.
func metric(admin, name string) float64 {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]map[string]float64
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return 0
	}
	return all[name]["count"]
}
