package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// maintainServerList restores the stored list. It then keeps the list up to date while this host is the first of the
// serving hosts.
func (f *Forwarder) maintainServerList(ctx context.Context) {
	written := f.restoreServerList(ctx)
	for era := f.returned.era.Load(); ctx.Err() == nil; {
		waiter.Wait(ctx, serverListInterval)
		if current := f.returned.era.Load(); current != era {
			era, written = current, broker.ServerList{} // the store may have an older list
		}
		if !f.isFirstServing() {
			continue
		}
		current := broker.ServerList{
			Servers: f.registrar.ActiveServers(), Quarantined: f.quarantine.quarantiner.Quarantined(time.Now()),
		}
		if len(current.Servers) == 0 || sameServerList(current, written) {
			continue
		}
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := f.sources.Lists.Put(callCtx, serverListName, current, !f.settings.FirstStart || len(written.Servers) > 0)
		cancel()
		if err != nil {
			f.logger.Warn("could not write the list of servers", "error", err)
			continue
		}
		written = current
		f.logger.Info("wrote the list of servers", "servers", len(current.Servers), "quarantined", len(current.Quarantined))
	}
}

// sameServerList reports whether two lists have the same servers and quarantined requests. Hosts state different starts
// of a quarantine.
func sameServerList(a, b broker.ServerList) bool {
	return slices.EqualFunc(a.Servers, b.Servers, broker.Registration.Equal) &&
		slices.EqualFunc(a.Quarantined, b.Quarantined, func(x, y broker.QuarantinedRequest) bool {
			return x.Fingerprint == y.Fingerprint
		})
}

// restoreServerList restores the servers and quarantined requests of the stored list and returns it. There is no list
// at the first start of the whole system.
func (f *Forwarder) restoreServerList(ctx context.Context) broker.ServerList {
	if f.settings.FirstStart {
		return broker.ServerList{}
	}
	for ctx.Err() == nil {
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		items, _, err := f.sources.Lists.List(callCtx, nil)
		cancel()
		if err != nil {
			f.logger.Warn("could not read the list of servers", "error", err)
			waiter.Wait(ctx, recordRetryInterval)
			continue
		}
		for _, item := range items {
			if item.Name == serverListName {
				f.registrar.RestoreServers(item.Value.Servers, time.Now())
				f.quarantine.restore(item.Value.Quarantined, "stored list")
				f.logger.Info("recalled servers", "servers", len(item.Value.Servers))
				return item.Value
			}
		}
		break
	}
	return broker.ServerList{}
}

// isFirstServing reports whether this host is the first by name of those that serve callers.
func (f *Forwarder) isFirstServing() bool {
	serving := f.serving()
	return len(serving) > 0 && slices.MinFunc(serving, compareNames).Name == f.settings.Node
}
