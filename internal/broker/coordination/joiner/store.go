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
	// watchers is how many members of a cell watch the store for the others.
	watchers = 2
	// maxEarlier bounds the unconfirmed generations in a member list; joining waits beyond it.
	maxEarlier = 32
	// joinSpacing separates joins by the time that a planned handover takes. A second new generation before that makes
	// the releases of the first one void, and the servers pause for the whole takeover wait.
	joinSpacing = 600 * time.Millisecond
	// smallCell is the number of members up to which joins need no spacing, because a cell of that size is starting.
	smallCell = 2
)

// task is a store call of one kind, of which one runs at a time.
type task struct {
	running bool
	cancel  context.CancelFunc
	next    time.Time
	retry   time.Duration
}

// start runs call on its own goroutine and done on the event loop with the call's error. After an error the
// task is not due before a growing delay.
func (j *Joiner) start(t *task, timeout time.Duration, call func(context.Context) error, done func()) {
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

// scheduleStore starts the store calls that are due.
func (j *Joiner) scheduleStore(now time.Time) {
	if j.rejoinDue(now) {
		j.rejoin(now)
	}
	core := j.core.Load()
	switch {
	case !j.write.due(now) || !j.rejoinAt.IsZero():
	case j.leaving || j.zoneOut:
		if j.isMember() && !now.Before(j.removeAt) {
			j.startRewrite(now, []broker.NodeID{j.self.ID})
		}
	case !j.isMember() && j.joinDue(now) && j.mayJoin(now, core):
		j.startJoin()
	}
	place := j.watchPlace(core)
	j.watch(now, place < watchers, &j.config, ConfigKey, uint64(j.adopter.Revision()), j.readConfig)
	j.watch(now, place < watchers, &j.members, MembersKey(j.settings.Cell), uint64(j.membership.Generation),
		j.readMembers)
	if place == 0 && j.poll.due(now) {
		j.poll.next = now.Add(j.jitter(j.settings.Poll*3/4, j.settings.Poll))
		j.pollConfig()
	}
	if core.NeedsHostList() && j.hosts.due(now) {
		j.hosts.next = now.Add(j.settings.HostPoll)
		j.readHosts()
	}
}

// rejoinDue returns whether a new incarnation may begin. What the present one has to hand over goes first: the next
// owners would fence the request IDs of claims that never arrive.
func (j *Joiner) rejoinDue(now time.Time) bool {
	return !j.rejoinAt.IsZero() && !now.Before(j.rejoinAt) && !j.leaving && !j.zoneOut && !j.write.running &&
		len(j.handovers) == 0 && j.handler.FinishWork(now)
}

// mayJoin returns whether this process hears enough members to join, or has waited long enough without.
func (j *Joiner) mayJoin(now time.Time, core *leaser.Core) bool {
	if core.HearsMajority(now) {
		return true
	}
	if j.joinAt.IsZero() {
		j.joinAt = now.Add(j.joinAlone)
		j.joinAlone = min(2*j.joinAlone, j.settings.JoinAloneMax)
	}
	return !now.Before(j.joinAt)
}

// watchPlace returns the place of this process among the members that watch the store. A process that does not
// hold its lease cannot rely on others and watches as well.
func (j *Joiner) watchPlace(core *leaser.Core) int {
	if core.Lifecycle() != leaser.LeaseHeld {
		return watchers - 1
	}
	return slices.Index(ranker.Rank(core.LiveMembers(), "watch", ""), j.self.ID)
}

// watch keeps a watch of key waiting while wanted.
func (j *Joiner) watch(
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
	j.start(t, j.settings.WatchTimeout, func(ctx context.Context) error {
		var err error
		object, err = j.store.Watch(ctx, key, version)
		if ctx.Err() != nil {
			// The wait ended without a change.
			object = broker.Object{}
			return nil
		}
		return err
	}, func() { j.read(object, read) })
}

// pollConfig reads the configuration if it has changed; the whole of it every 2 s would be 311 KB/s at 2,800 servers.
func (j *Joiner) pollConfig() {
	revision := uint64(j.adopter.Revision())
	var object broker.Object
	j.start(&j.poll, j.settings.StoreTimeout, func(ctx context.Context) error {
		var err error
		object, err = j.store.GetNewer(ctx, ConfigKey, revision)
		return err
	}, func() { j.read(object, j.readConfig) })
}

func (j *Joiner) read(object broker.Object, read func(broker.Object) error) {
	if object.Version == 0 {
		return
	}
	if err := read(object); err != nil {
		j.log.Error("store object refused", "key", object.Key, "version", object.Version, "error", err)
	}
}

func (j *Joiner) readConfig(object broker.Object) error {
	j.offer(broker.ConfigObject{Revision: broker.Revision(object.Version), Value: object.Value})
	return nil
}

func (j *Joiner) readMembers(object broker.Object) error {
	membership, err := decode(object)
	if err == nil {
		j.adoptMembership(membership)
	}
	return err
}

func (j *Joiner) readHosts() {
	var hosts []broker.Host
	j.start(&j.hosts, j.settings.StoreTimeout, func(ctx context.Context) error {
		var err error
		hosts, err = j.store.Hosts(ctx)
		return err
	}, func() { j.step(j.clock.Now(), leaser.HostListRead{Hosts: hosts}) })
}

// joinDue returns whether the generation in force has lasted long enough for its handovers.
func (j *Joiner) joinDue(now time.Time) bool {
	return len(j.membership.Members) <= smallCell || now.Sub(j.generationAt) >= joinSpacing
}

// startJoin adds this process to the member list in place of its predecessors under the same peer address.
func (j *Joiner) startJoin() {
	self := j.self
	j.startWrite(func(members []broker.Member) []broker.Member {
		members = slices.DeleteFunc(members, func(m broker.Member) bool {
			return m.Peer == self.Peer || m.ID == self.ID
		})
		return append(members, self)
	})
}

// startRewrite removes members from the list, and with none only drops the confirmed earlier generations.
func (j *Joiner) startRewrite(now time.Time, remove []broker.NodeID) {
	if !j.write.due(now) {
		return
	}
	j.startWrite(func(members []broker.Member) []broker.Member {
		return slices.DeleteFunc(members, func(m broker.Member) bool { return slices.Contains(remove, m.ID) })
	})
}

// startWrite reads the member list, changes it and writes it where it has not changed meanwhile. A lost reply
// is resolved by the next attempt, which reads the list first and finds the change made.
func (j *Joiner) startWrite(change func([]broker.Member) []broker.Member) {
	key := MembersKey(j.settings.Cell)
	known := j.membership.Generation
	_, confirmed := j.core.Load().ConfirmedGeneration()
	var result broker.Membership
	j.start(&j.write, j.settings.StoreTimeout, func(ctx context.Context) error {
		object, err := j.store.Get(ctx, key)
		if err != nil {
			return &Error{Op: "read member list", Kind: KindStore, Err: err}
		}
		base, err := decode(object)
		if err != nil {
			return err
		}
		result = base
		// Whom to remove, and whether to join, was decided for the known list; a newer one is adopted first.
		if base.Generation != known {
			return nil
		}
		next := leaser.NextMembership(base, change(slices.Clone(base.Members)), confirmed)
		if next == nil {
			return nil
		}
		if len(next.Earlier) > maxEarlier {
			return &Error{
				Op: "write member list", Kind: KindStore,
				Err: errors.New("earlier generations are not confirmed"),
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

func decode(object broker.Object) (broker.Membership, error) {
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
