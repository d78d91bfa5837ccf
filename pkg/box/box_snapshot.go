package box

import "github.com/stoneworks/stoneworks/pkg/decide"

// rebuild updates the gates and replaces the snapshot by a new one.
func (b *Box) rebuild() {
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	// The box's own record is updated first: whether this box still shares slots
	// determines its views, and with them its shares and its excess.
	b.refreshSelf()
	services := b.services()
	b.updateGates(services)
	b.refreshSelf()
	b.snapshot.Store(decide.NewSnapshot(decide.Input{
		Self:     b.Settings.Box,
		Zone:     b.Settings.Zone,
		Topology: b.Topology,
		Members:  b.Table.Members(),
		Services: services,
	}))
}

func (b *Box) services() []decide.ServiceInput {
	var services []decide.ServiceInput
	for _, o := range b.Store.All() {
		if !o.IsService() {
			continue
		}
		services = append(services, decide.ServiceInput{Spec: o.Service, Revision: o.Revision, Assign: b.advanceAssignment(o.Service)})
	}
	return services
}
