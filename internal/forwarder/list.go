package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// keepList recalls the servers that the hosts knew, in case their entries have expired while the store was away, and then
// keeps the list up to date while this host is the one to do so.
func (f *Forwarder) keepList(ctx context.Context) {
	written := f.recallList(ctx)
	for ctx.Err() == nil {
		waiter.Wait(ctx, listInterval)
		known := f.registrar.ActiveServers()
		if !f.writesList() || len(known) == 0 || slices.EqualFunc(known, written, broker.Registration.Equal) {
			continue
		}
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := f.sources.Lists.Put(callCtx, listName, broker.ServerList{Servers: known})
		cancel()
		if err != nil {
			f.logger.Warn("could not write the list of servers", "error", err)
			continue
		}
		written = known
		f.logger.Info("wrote the list of servers", "servers", len(known))
	}
}

// recallList reads the list and returns the servers in it. The first start of all hosts has none to recall.
func (f *Forwarder) recallList(ctx context.Context) []broker.Registration {
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
			waiter.Wait(ctx, recordPause)
			continue
		}
		for _, item := range items {
			if item.Name == listName {
				f.registrar.RestoreServers(item.Value.Servers, time.Now())
				f.logger.Info("recalled servers", "servers", len(item.Value.Servers))
				return item.Value.Servers
			}
		}
		return nil
	}
	return nil
}

// writesList returns whether this host is the first of those that serve callers.
func (f *Forwarder) writesList() bool {
	serving := f.serving()
	return len(serving) > 0 && slices.MinFunc(serving, compareNames).Name == f.settings.Node
}
