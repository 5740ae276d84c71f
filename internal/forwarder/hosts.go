package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// recordRetryInterval is the pause between attempts to write the record of this host.
	recordRetryInterval = 500 * time.Millisecond
	// startWait is the maximum time for which a task waits for another one at the start.
	startWait = 200 * time.Millisecond
	// recordCheckInterval is the pause between checks whether the store still has the record of this host.
	recordCheckInterval = 5 * time.Second
	// rewriteSpread is the time over which hosts write their records again after the store came back from an older copy.
	rewriteSpread = time.Second
	// minProbePause is the pause between two probes if the registered hosts change.
	minProbePause = 100 * time.Millisecond
	// probeAllInterval is the pause between probes of all hosts, including those on standby. The record of a host is
	// removed after maxMissedProbes missed answers in a row; a host that was only unreachable writes its record again.
	probeAllInterval = time.Minute
	maxMissedProbes  = 10
)

// maintainHostRecord writes the record of this host to the store, so that the others can find it, unless the store has it
// from an earlier process. It writes it again if it was removed while the others could not reach this host.
func (f *Forwarder) maintainHostRecord(ctx context.Context) {
	record := f.ownRecord()
	if !f.settings.FirstStart {
		f.hostsKnown.wait(ctx, startWait)
	}
	for ctx.Err() == nil {
		stored, found, _ := f.feeds.hosts.Find(f.settings.Node)
		if !found || stored.Value != record {
			f.gate.Await(ctx)
			callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := f.sources.Hosts.Put(callCtx, f.settings.Node, record, found)
			cancel()
			if err != nil {
				f.logger.Warn("could not write the record of this host", "error", err)
				waiter.Wait(ctx, recordRetryInterval)
				continue
			}
			f.logger.Info("stated this host in the store")
		}
		f.recorded.send()
		f.awaitRemoval(ctx)
	}
}

// afterHosts delays a task until the registered hosts are known, from which follows where this host reads the other
// collections. Without an answer of the store, the task starts after startWait.
func (f *Forwarder) afterHosts(run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		f.hostsKnown.wait(ctx, startWait)
		run(ctx)
	}
}

// afterRecord delays a task at the first start of the system until this host is registered. By then others are, too, so
// that fewer hosts take themselves for the first ones.
func (f *Forwarder) afterRecord(run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		if f.settings.FirstStart && !f.settings.resolvesOnly() {
			f.recorded.wait(ctx, startWait)
		}
		run(ctx)
	}
}

// awaitRemoval returns once two checks in a row found no record of this host, or a while after the store came back from an
// older copy, which may not have it.
func (f *Forwarder) awaitRemoval(ctx context.Context) {
	for missing := 0; missing < 2 && ctx.Err() == nil; {
		if f.returned.await(ctx, recordCheckInterval) {
			waiter.Wait(ctx, rand.N(rewriteSpread))
			return
		}
		if _, found, loaded := f.feeds.hosts.Find(f.settings.Node); found || !loaded {
			missing = 0
		} else {
			missing++
		}
	}
}

func (f *Forwarder) updateHosts(update follower.Update[broker.HostRecord]) {
	f.feeds.hosts.Publish(update)
	noteEra(f, update)
	hosts := make(map[string]broker.HostRecord, len(update.Items))
	for name, item := range update.Items {
		hosts[name] = item.Value
	}
	if update.Returned {
		time.AfterFunc(hostGrace, f.refreshHosts)
	}
	f.returned.keepHosts(update.Returned, f.prober.Known(), hosts, time.Now())
	f.prober.SetHosts(hosts)
	f.updateRelays()
	f.hostsKnown.send()
	f.relays.SetFallbacks(f.fallbackAddresses())
	f.updateHostShare()
	f.requestProbes()
}

// requestProbes has the next round of probes begin at once.
func (f *Forwarder) requestProbes() {
	select {
	case f.probeNow <- struct{}{}:
	default:
	}
}

// probeHosts regularly probes the serving hosts and those next in order, and updates the load from their answers.
func (f *Forwarder) probeHosts(ctx context.Context) {
	spares, last := spareCandidates, time.Now()
	for ctx.Err() == nil {
		started := time.Now()
		candidates := f.probeCandidates(spareCandidates)
		probed := candidates
		if spares > spareCandidates {
			probed = f.probeCandidates(spares)
		}
		f.prober.Probe(ctx, probed)
		f.probeRounds.completed(started)
		if f.lacksAnswers(probed) {
			spares *= 2
			f.requestProbes()
		} else {
			spares = spareCandidates
		}
		f.load.sampleProcessorTime(time.Now(), processorTime())
		f.load.updateWanted(f.prober.Load(candidates)+f.load.ownCores(), started.Sub(last))
		last = started
		f.updateHostShare()
		f.syncQuarantine(ctx)
		needed := f.settings.resolvesOnly() || slices.Contains(candidates, f.settings.Node)
		f.awaitProbe(ctx, started.Add(f.work.probeInterval(needed, time.Now())))
	}
}

// awaitProbe waits until the next probe is due, the first request arrives at an idle host, a look-up needs newer answers,
// or the registered hosts have changed: whether the hosts of a system that has just started are running is not known
// otherwise.
func (f *Forwarder) awaitProbe(ctx context.Context, due time.Time) {
	if !waiter.Wait(ctx, minProbePause) {
		return
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-f.probeNow:
	case <-f.work.woken:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// removeGoneHosts removes the records of hosts that have not answered for a long time. Only the first of the serving
// hosts does so, and only at the revision that it has seen, so that a record that was just written again is kept.
func (f *Forwarder) removeGoneHosts(ctx context.Context) {
	missed := map[string]int{}
	for era := f.returned.era.Load(); waiter.Wait(ctx, probeAllInterval); {
		last := era
		era = f.returned.era.Load()
		// After a return of the store, revisions that were seen before it may be those of other changes.
		if !f.isFirstServing() || f.gate.Unavailable() || era != last {
			clear(missed)
			continue
		}
		for _, name := range f.probeAllHosts(ctx, missed) {
			f.removeRecord(ctx, name)
		}
	}
}

// probeAllHosts probes all known hosts, counts in missed how many answers in a row each has missed, and returns the
// names of those that reached maxMissedProbes.
func (f *Forwarder) probeAllHosts(ctx context.Context, missed map[string]int) []string {
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
	// A host that reaches fewer than half of the others is probably cut off itself.
	if 2*len(silent) > len(known) {
		return nil
	}
	var gone []string
	for name := range silent {
		if missed[name]++; missed[name] >= maxMissedProbes {
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
