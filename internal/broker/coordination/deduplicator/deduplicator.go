package deduplicator

import (
	"container/heap"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Options bound the claims.
type Options struct {
	Window      time.Duration // how long a request ID is accepted after its creation
	Skew        time.Duration // allowed difference between clocks
	Claims      int           // most claims kept
	AnswerBytes int           // most bytes of stored answers, as encoded in JSON
}

// DefaultOptions returns the bounds for production.
func DefaultOptions() Options {
	return Options{Window: 10 * time.Minute, Skew: time.Second, Claims: 200_000, AnswerBytes: 64 << 20}
}

// DecisionKind says what the claim point does with a request.
type DecisionKind uint8

// Kinds of decision.
const (
	// DecisionRun means that the request ID is now claimed and the request may run, once.
	DecisionRun DecisionKind = iota + 1
	// DecisionAnswer means that the request finished before; the decision holds its answer.
	DecisionAnswer
	// DecisionUnknown means that the request may have run; the answer is outcomeUnknown with the reason.
	DecisionUnknown
	// DecisionNotRun means that the claim point has no room for the claim; the request did not run.
	DecisionNotRun
	// DecisionElsewhere means that this node is not the claim point of the shard, which may know the ID.
	DecisionElsewhere
)

// Decision is the result of Claim.
type Decision struct {
	Kind   DecisionKind
	Reason broker.Reason
	Answer *broker.Answer
}

type shardKey struct {
	service string
	shard   broker.ShardName
}

type claim struct {
	shard   shardKey
	id      string
	created time.Time
	claimed time.Time
	answer  *broker.Answer
	bytes   int
	index   int // position in the expiry heap
}

type shardClaims struct {
	open   bool // this node is the claim point
	fence  time.Time
	claims map[string]*claim
}

// Deduplicator keeps the claims of every shard whose claim point this node is; it is safe for concurrent use.
type Deduplicator struct {
	options Options

	mu      sync.Mutex
	shards  map[shardKey]*shardClaims
	expiry  expiryHeap
	answers []*claim // finished claims in order of completion, for dropping the oldest answers
	bytes   int
}

// New returns an empty deduplicator.
func New(options Options) *Deduplicator {
	return &Deduplicator{options: options, shards: make(map[shardKey]*shardClaims)}
}

// Created returns the creation time of a request ID in milliseconds and its canonical form.
func Created(requestID string) (time.Time, string, error) {
	id, err := uuid.Parse(requestID)
	if err != nil {
		return time.Time{}, "", &Error{Op: "read request ID", Kind: KindMalformed, Err: err}
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, "", &Error{Op: "read request ID", Kind: KindMalformed}
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), id.String(), nil
}

// Claim decides on a request ID and claims it where it is new.
func (d *Deduplicator) Claim(
	service string, shard broker.ShardName, requestID string, now time.Time,
) (Decision, error) {
	created, id, err := Created(requestID)
	if err != nil {
		return Decision{}, err
	}
	if created.After(now.Add(d.options.Skew)) {
		return Decision{}, &Error{Op: "claim request ID", Kind: KindFuture}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	key := shardKey{service, shard}
	held := d.held(key)
	if c, ok := held.claims[id]; ok {
		if c.answer != nil {
			return Decision{Kind: DecisionAnswer, Answer: c.answer}, nil
		}
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonDuplicate}, nil
	}
	switch {
	case !held.open:
		return Decision{Kind: DecisionElsewhere, Reason: broker.ReasonNotOwner}, nil
	case now.Sub(created) > d.options.Window:
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonExpiredID}, nil
	case created.Before(held.fence):
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonFenced}, nil
	case len(d.expiry) >= d.options.Claims:
		return Decision{Kind: DecisionNotRun, Reason: broker.ReasonOverloaded}, nil
	}
	d.add(held, &claim{shard: key, id: id, created: created, claimed: now})
	return Decision{Kind: DecisionRun}, nil
}

// Finish stores the answer of a claimed request. A claim whose answer is notRun is given up, so that the request can
// be sent again under the same ID.
func (d *Deduplicator) Finish(service string, shard broker.ShardName, requestID string, answer *broker.Answer) {
	_, id, err := Created(requestID)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.shards[shardKey{service, shard}]
	if held == nil || held.claims[id] == nil || held.claims[id].answer != nil {
		return
	}
	c := held.claims[id]
	switch answer.Status {
	case broker.StatusNotRun:
		delete(held.claims, id)
		heap.Remove(&d.expiry, c.index)
	case broker.StatusOutcomeUnknown: // a resent ID gets outcomeUnknown without a stored answer
	default:
		d.store(c, answer)
	}
}

// Fence makes this node the claim point of the shard without its predecessor's claims: IDs created before at plus the
// clock skew are refused. A shard takes no claims before Fence or Import.
func (d *Deduplicator) Fence(service string, shard broker.ShardName, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.held(shardKey{service, shard})
	held.open = true
	if fence := at.Add(d.options.Skew); fence.After(held.fence) {
		held.fence = fence
	}
}

// Export ends this node's time as the claim point of a shard and returns its claims for the next one, sorted by request
// ID. IDs still without an answer are outcomeUnknown there.
func (d *Deduplicator) Export(service string, shard broker.ShardName, now time.Time) broker.ShardClaims {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	key := shardKey{service, shard}
	held := d.held(key)
	exported := broker.ShardClaims{Service: service, Shard: shard, Fence: held.fence}
	for id, c := range held.claims {
		exported.Claims = append(exported.Claims, broker.Claim{RequestID: id, Claimed: c.claimed, Answer: c.answer})
	}
	slices.SortFunc(exported.Claims, func(a, b broker.Claim) int {
		return strings.Compare(a.RequestID, b.RequestID)
	})
	held.open = false
	return exported
}

// Import makes this node the claim point with the claims that the previous one exported. A fence only rises: a delayed
// export of an earlier claim point must not open the time that a later one covered.
func (d *Deduplicator) Import(claims broker.ShardClaims, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	key := shardKey{claims.Service, claims.Shard}
	held := d.held(key)
	held.open = true
	if claims.Fence.After(held.fence) {
		held.fence = claims.Fence
	}
	for i := range claims.Claims {
		created, id, err := Created(claims.Claims[i].RequestID)
		if err != nil || now.Sub(created) > d.options.Window {
			continue
		}
		c := held.claims[id]
		if c == nil {
			c = &claim{shard: key, id: id, created: created, claimed: claims.Claims[i].Claimed}
			d.add(held, c)
		}
		if c.answer == nil && claims.Claims[i].Answer != nil {
			d.store(c, claims.Claims[i].Answer)
		}
	}
}

// Len returns the number of claims kept and the bytes of their answers.
func (d *Deduplicator) Len() (claims, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.expiry), d.bytes
}

func (d *Deduplicator) held(key shardKey) *shardClaims {
	held := d.shards[key]
	if held == nil {
		held = &shardClaims{claims: make(map[string]*claim)}
		d.shards[key] = held
	}
	return held
}

func (d *Deduplicator) add(held *shardClaims, c *claim) {
	held.claims[c.id] = c
	heap.Push(&d.expiry, c)
}

// store keeps an answer, dropping the oldest ones where the bytes run out; the claims themselves stay.
func (d *Deduplicator) store(c *claim, answer *broker.Answer) {
	encoded, err := json.Marshal(answer)
	if err != nil || len(encoded) > d.options.AnswerBytes {
		return
	}
	c.answer, c.bytes = answer, len(encoded)
	d.bytes += c.bytes
	d.answers = append(d.answers, c)
	for d.bytes > d.options.AnswerBytes {
		d.drop(d.answers[0])
		d.answers = d.answers[1:]
	}
}

func (d *Deduplicator) drop(c *claim) {
	d.bytes -= c.bytes
	c.answer, c.bytes = nil, 0
}

// expire forgets claims whose request ID has left the window.
func (d *Deduplicator) expire(now time.Time) {
	for len(d.expiry) > 0 && now.Sub(d.expiry[0].created) > d.options.Window {
		c := heap.Pop(&d.expiry).(*claim)
		delete(d.shards[c.shard].claims, c.id)
		if c.answer != nil {
			d.drop(c)
		}
	}
	for len(d.answers) > 0 && d.answers[0].answer == nil {
		d.answers = d.answers[1:]
	}
}

// expiryHeap orders claims by the creation time of their IDs.
type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].created.Before(h[j].created) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	c := x.(*claim)
	c.index = len(*h)
	*h = append(*h, c)
}
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
