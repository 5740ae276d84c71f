package joiner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/leaser"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/ranker"
)

const (
	// watcherCount is the number of members that watch the store for their cell.
	watcherCount = 2
	// maxUnconfirmedGenerations is the maximum number of earlier generations in a member list; a write beyond it fails.
	maxUnconfirmedGenerations = 32
	// joinSpacing is the minimum age of a generation before another process joins. It covers a planned handover: a
	// generation change during it would void its releases, and the servers would pause for the whole takeover wait.
	joinSpacing = 600 * time.Millisecond
	// smallCellSize is the number of members up to which joins need no spacing, because such a cell is still starting.
	smallCellSize = 2
)

// task is a kind of store call, of which one at a time runs.
type task struct {
	running bool
	cancel  context.CancelFunc
	next    time.Time
	retry   time.Duration
}

// startTask runs call on its own goroutine and, if it succeeds, done on the event loop. After an error the task is due
// again after a delay that doubles up to RetryMax.
func (j *Joiner) startTask(t *task, timeout time.Duration, call func(context.Context) error, done func()) {
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	t.running, t.cancel = true, cancel
	go func() {
		err := call(ctx)
		cancel()
		j.post(func() {
			t.running, t.cancel = false, nil
			if err != nil {
				j.counters.storeFailures.Inc()
				t.retry = min(max(2*t.retry, j.settings.RetryMin), j.settings.RetryMax)
				t.next = j.clock.Now().Add(j.jitter(t.retry/2, t.retry))
				return
			}
			t.retry = 0
			done()
		})
	}()
}

func (t *task) due(now time.Time) bool { return !t.running && !now.Before(t.next) }

func (j *Joiner) jitter(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(j.random.Int64N(int64(high-low)))
}

// scheduleStore starts the store calls that are due, and a new incarnation if one is due.
func (j *Joiner) scheduleStore(now time.Time) {
	if j.rejoinDue(now) {
		j.rejoin(now)
	}
	core := j.core.Load()
	switch {
	case !j.memberWrite.due(now) || !j.rejoinAt.IsZero():
	case j.leaving || j.zoneOut:
		if j.isMember() && !now.Before(j.selfRemovalAt) {
			j.startRewrite(now, []broker.NodeID{j.self.ID})
		}
	case !j.isMember() && j.joinDue(now) && j.mayJoin(now, core):
		j.startJoin()
	}
	place := j.watchRank(core)
	j.maintainWatch(now, place < watcherCount, &j.configWatch, ConfigKey, uint64(j.adopter.Revision()), j.readConfig)
	j.maintainWatch(now, place < watcherCount, &j.memberWatch, MembersKey(j.settings.Cell),
		uint64(j.membership.Generation), j.readMembers)
	if place == 0 && j.configPoll.due(now) {
		j.configPoll.next = now.Add(j.jitter(j.settings.PollInterval*3/4, j.settings.PollInterval))
		j.pollConfig()
	}
	if core.NeedsHostList() && j.hostPoll.due(now) {
		j.hostPoll.next = now.Add(j.settings.HostPollInterval)
		j.readHosts()
	}
}

// rejoinDue returns whether a new incarnation may start. The handovers of the current one must be sent first, because
// the next owners would fence the request IDs of claims that never arrive.
func (j *Joiner) rejoinDue(now time.Time) bool {
	return !j.rejoinAt.IsZero() && !now.Before(j.rejoinAt) && !j.leaving && !j.zoneOut && !j.memberWrite.running &&
		len(j.handovers) == 0 && j.handler.FinishWork(now)
}

// mayJoin returns whether this process hears a majority or has waited long enough to join without one.
func (j *Joiner) mayJoin(now time.Time, core *leaser.Core) bool {
	if core.HearsMajority(now) {
		return true
	}
	if j.isolatedJoinAt.IsZero() {
		j.isolatedJoinAt = now.Add(j.isolatedJoinDelay)
		j.isolatedJoinDelay = min(2*j.isolatedJoinDelay, j.settings.IsolatedJoinDelayMax)
	}
	return !now.Before(j.isolatedJoinAt)
}

// watchRank returns the rank of this process in the order in which members watch the store. A process that does not
// hold its lease cannot rely on the others and gets the last rank that watches.
func (j *Joiner) watchRank(core *leaser.Core) int {
	if core.Lifecycle() != leaser.LeaseHeld {
		return watcherCount - 1
	}
	return slices.Index(ranker.Rank(core.LiveMembers(), "watch", ""), j.self.ID)
}

// maintainWatch keeps one watch of key running while wanted and cancels it otherwise.
func (j *Joiner) maintainWatch(
	now time.Time, wanted bool, t *task, key string, version uint64, read func(broker.Object) error,
) {
	if !wanted {
		if t.running {
			t.cancel()
		}
		return
	}
	if !t.due(now) {
		return
	}
	var object broker.Object
	j.startTask(t, j.settings.WatchTimeout, func(ctx context.Context) error {
		var err error
		object, err = j.store.Watch(ctx, key, version)
		if ctx.Err() != nil {
			// The watch ended without a change.
			object = broker.Object{}
			return nil
		}
		return err
	}, func() { j.readObject(object, read) })
}

// pollConfig reads the configuration if it has changed. Reading all of it every 2 s would take 311 KB/s at 2,800
// servers.
func (j *Joiner) pollConfig() {
	revision := uint64(j.adopter.Revision())
	var object broker.Object
	j.startTask(&j.configPoll, j.settings.StoreTimeout, func(ctx context.Context) error {
		var err error
		object, err = j.store.GetNewer(ctx, ConfigKey, revision)
		return err
	}, func() { j.readObject(object, j.readConfig) })
}

func (j *Joiner) readObject(object broker.Object, read func(broker.Object) error) {
	if object.Version == 0 {
		return
	}
	if err := read(object); err != nil {
		j.log.Error("store object refused", "key", object.Key, "version", object.Version, "error", err)
	}
}

func (j *Joiner) readConfig(object broker.Object) error {
	j.offerConfig(broker.ConfigObject{Revision: broker.Revision(object.Version), Value: object.Value})
	return nil
}

func (j *Joiner) readMembers(object broker.Object) error {
	membership, err := decodeMembership(object)
	if err == nil {
		j.adoptMembership(membership)
	}
	return err
}

func (j *Joiner) readHosts() {
	var hosts []broker.Host
	j.startTask(&j.hostPoll, j.settings.StoreTimeout, func(ctx context.Context) error {
		var err error
		hosts, err = j.store.Hosts(ctx)
		return err
	}, func() { j.step(j.clock.Now(), leaser.HostListRead{Hosts: hosts}) })
}

// joinDue returns whether the current generation has lasted long enough for its handovers to finish.
func (j *Joiner) joinDue(now time.Time) bool {
	return len(j.membership.Members) <= smallCellSize || now.Sub(j.generationSince) >= joinSpacing
}

// startJoin adds this process to the member list and removes earlier processes with the same peer address.
func (j *Joiner) startJoin() {
	self := j.self
	j.startWrite(func(members []broker.Member) []broker.Member {
		members = slices.DeleteFunc(members, func(m broker.Member) bool {
			return m.Peer == self.Peer || m.ID == self.ID
		})
		return append(members, self)
	})
}

// startRewrite removes members from the list. With an empty remove it only drops the earlier generations, if confirmed.
func (j *Joiner) startRewrite(now time.Time, remove []broker.NodeID) {
	if !j.memberWrite.due(now) {
		return
	}
	j.startWrite(func(members []broker.Member) []broker.Member {
		return slices.DeleteFunc(members, func(m broker.Member) bool { return slices.Contains(remove, m.ID) })
	})
}

// startWrite reads the member list, changes it and writes it back unless it has changed in the meantime. After a lost
// reply the next attempt reads the list first and finds the change made.
func (j *Joiner) startWrite(change func([]broker.Member) []broker.Member) {
	key := MembersKey(j.settings.Cell)
	known := j.membership.Generation
	_, confirmed := j.core.Load().ConfirmedGeneration()
	var result broker.Membership
	j.startTask(&j.memberWrite, j.settings.StoreTimeout, func(ctx context.Context) error {
		object, err := j.store.Get(ctx, key)
		if err != nil {
			return &Error{Op: "read member list", Kind: KindStore, Err: err}
		}
		base, err := decodeMembership(object)
		if err != nil {
			return err
		}
		result = base
		// The change was decided for the known list, so a newer list is adopted first.
		if base.Generation != known {
			return nil
		}
		next := leaser.NextMembership(base, change(slices.Clone(base.Members)), confirmed)
		if next == nil {
			return nil
		}
		if len(next.Earlier) > maxUnconfirmedGenerations {
			return &Error{
				Op: "write member list", Kind: KindStore,
				Err: errors.New("too many earlier generations are not confirmed"),
			}
		}
		value, err := json.Marshal(next)
		if err != nil {
			return &Error{Op: "write member list", Kind: KindDecode, Err: err}
		}
		version, err := j.store.Put(ctx, key, value, object.Version)
		if err != nil {
			return &Error{Op: "write member list", Kind: KindStore, Err: err}
		}
		result = *next
		result.Generation = broker.Generation(version)
		return nil
	}, func() { j.adoptMembership(result) })
}

func decodeMembership(object broker.Object) (broker.Membership, error) {
	var membership broker.Membership
	if object.Version == 0 {
		return membership, nil
	}
	if err := json.Unmarshal(object.Value, &membership); err != nil {
		return membership, &Error{Op: "read member list", Kind: KindDecode, Err: err}
	}
	membership.Generation = broker.Generation(object.Version)
	return membership, nil
}
