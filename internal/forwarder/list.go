package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// maintainServerList restores the servers in the stored list, whose entries may have expired while the store was
// unavailable. It then keeps the list up to date while this host is the first of the serving hosts.
func (f *Forwarder) maintainServerList(ctx context.Context) {
	written := f.restoreServerList(ctx)
	for ctx.Err() == nil {
		waiter.Wait(ctx, serverListInterval)
		active := f.registrar.ActiveServers()
		if !f.isFirstServing() || len(active) == 0 || slices.EqualFunc(active, written, broker.Registration.Equal) {
			continue
		}
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := f.sources.Lists.Put(callCtx, serverListName, broker.ServerList{Servers: active})
		cancel()
		if err != nil {
			f.logger.Warn("could not write the list of servers", "error", err)
			continue
		}
		written = active
		f.logger.Info("wrote the list of servers", "servers", len(active))
	}
}

// restoreServerList restores the servers in the stored list and returns them. There is no list at the first start of
// the whole system.
func (f *Forwarder) restoreServerList(ctx context.Context) []broker.Registration {
	if f.settings.FirstStart {
		return nil
	}
	for ctx.Err() == nil {
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		items, _, err := f.sources.Lists.List(callCtx)
		cancel()
		if err != nil {
			f.logger.Warn("could not read the list of servers", "error", err)
			waiter.Wait(ctx, recordRetryInterval)
			continue
		}
		for _, item := range items {
			if item.Name == serverListName {
				f.registrar.RestoreServers(item.Value.Servers, time.Now())
				f.logger.Info("recalled servers", "servers", len(item.Value.Servers))
				return item.Value.Servers
			}
		}
		return nil
	}
	return nil
}

// isFirstServing reports whether this host is the first by name of those that serve callers.
func (f *Forwarder) isFirstServing() bool {
	serving := f.serving()
	return len(serving) > 0 && slices.MinFunc(serving, compareNames).Name == f.settings.Node
}
