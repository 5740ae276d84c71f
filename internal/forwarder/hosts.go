package forwarder

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// recordPause is the pause between attempts to state this host in the store.
	recordPause = 500 * time.Millisecond
	// recordCheck is the pause between looks whether the store still has this host.
	recordCheck = 5 * time.Second
	// censusInterval is the pause between questions to all hosts, also those that stand by, and goneAnswers is how many of
	// these in a row a host misses before its record is removed. A host that was only cut off states itself again.
	censusInterval = time.Minute
	goneAnswers    = 10
)

// announce puts this host into the store, so that the others can find it, and again where its record was removed while
// the others could not reach it.
func (f *Forwarder) announce(ctx context.Context) {
	record := f.self()
	record.Process = uuid.NewString()
	for ctx.Err() == nil {
		f.gate.Await(ctx)
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := f.sources.Hosts.Put(callCtx, f.settings.Node, record)
		cancel()
		if err != nil {
			f.logger.Warn("could not state this host in the store", "error", err)
			waiter.Wait(ctx, recordPause)
			continue
		}
		f.logger.Info("stated this host in the store", "process", record.Process)
		f.awaitRemoval(ctx)
	}
}

// awaitRemoval returns once two looks in a row found no record of this host.
func (f *Forwarder) awaitRemoval(ctx context.Context) {
	for missing := 0; missing < 2 && waiter.Wait(ctx, recordCheck); {
		if _, found, known := f.feeds.hosts.Find(f.settings.Node); found || !known {
			missing = 0
		} else {
			missing++
		}
	}
}

func (f *Forwarder) learnHosts(update follower.Update[broker.HostRecord]) {
	f.feeds.hosts.Publish(update)
	hosts := make(map[string]broker.HostRecord, len(update.Items))
	for name, item := range update.Items {
		hosts[name] = item.Value
	}
	f.prober.SetHosts(hosts)
	f.relays.Set(f.relayAddresses())
	f.relays.SetFallbacks(f.reserves())
	f.share()
}

// watchHosts asks the other hosts in turn whether they take requests.
func (f *Forwarder) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		f.prober.Probe(ctx, f.candidates())
		f.load.sample(time.Now(), processorTime())
		f.load.follow(f.prober.Load() + f.load.own())
		f.share()
		waiter.Wait(ctx, prober.DefaultInterval-time.Since(started))
	}
}

// removeGone removes the records of hosts that have not answered for long. Only the first of the hosts that serve callers
// does so, with the revision that it has seen, so that a host that states itself again at that moment stays.
func (f *Forwarder) removeGone(ctx context.Context) {
	missed := map[string]int{}
	for waiter.Wait(ctx, censusInterval) {
		if !f.writesList() || f.gate.Unavailable() {
			clear(missed)
			continue
		}
		for _, name := range f.census(ctx, missed) {
			f.removeRecord(ctx, name)
		}
	}
}

// census asks all known hosts, counts for each how many answers in a row it has missed, and returns those that are gone.
func (f *Forwarder) census(ctx context.Context, missed map[string]int) []string {
	known := f.prober.Known()
	names := make([]string, len(known))
	for i := range known {
		names[i] = known[i].Name
	}
	f.prober.Probe(ctx, names)
	silent := f.prober.Silent()
	for name := range missed {
		if !silent[name] {
			delete(missed, name)
		}
	}
	// A host that reaches fewer than half of the others is cut off itself.
	if 2*len(silent) > len(known) {
		return nil
	}
	var gone []string
	for name := range silent {
		if missed[name]++; missed[name] >= goneAnswers {
			gone = append(gone, name)
		}
	}
	return gone
}

func (f *Forwarder) removeRecord(ctx context.Context, name string) {
	item, found, _ := f.feeds.hosts.Find(name)
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := f.sources.Hosts.Delete(callCtx, name, item.Revision); err != nil {
		f.logger.Warn("could not remove the record of a host that is gone", "host", name, "error", err)
		return
	}
	f.logger.Info("removed the record of a host that is gone", "host", name, "revision", item.Revision)
}
