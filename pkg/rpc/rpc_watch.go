package rpc

import (
	"google.golang.org/grpc"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/config"
)

// NotifyWatchers notifies all watches. It must be called for every object that becomes
// active.
func (o *Operators) NotifyWatchers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// WatchServices streams the services and their changes. A slow reader may miss
// intermediate revisions but never the latest one.
func (o *Operators) WatchServices(_ *pb.WatchServicesRequest, stream grpc.ServerStreamingServer[pb.ServiceReply]) error {
	wake := make(chan struct{}, 1)
	o.subscribe(wake)
	defer o.unsubscribe(wake)
	sent := map[string]config.Stamp{}
	for {
		for _, object := range o.Store.NewerThan(sent) {
			sent[object.Name] = config.Stamp{Revision: object.Revision, ChangeID: object.ChangeID}
			if object.Plan != nil {
				continue
			}
			if err := stream.Send(toReply(object)); err != nil {
				return err
			}
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-wake:
		}
	}
}

func (o *Operators) subscribe(w chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.watchers == nil {
		o.watchers = map[chan struct{}]bool{}
	}
	o.watchers[w] = true
}

func (o *Operators) unsubscribe(w chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.watchers, w)
}
