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

// Options limit the age, number and size of claims.
type Options struct {
	Window      time.Duration // maximum age of an accepted request ID
	Skew        time.Duration // maximum difference between the clocks of hosts
	Claims      int           // maximum number of claims
	AnswerBytes int           // maximum total size of the stored answers as JSON
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options {
	return Options{Window: 10 * time.Minute, Skew: time.Second, Claims: 200_000, AnswerBytes: 64 << 20}
}

// DecisionKind is what the claim point does with a request.
type DecisionKind uint8

// Kinds of decision.
const (
	// DecisionRun means that the request ID is now claimed and the request may run once.
	DecisionRun DecisionKind = iota + 1
	// DecisionAnswer means that the request has finished; the decision contains its answer.
	DecisionAnswer
	// DecisionUnknown means that the request may have run; the answer is outcomeUnknown with the decision's reason.
	DecisionUnknown
	// DecisionNotRun means that the maximum number of claims is reached; the request did not run.
	DecisionNotRun
	// DecisionElsewhere means that another node is the claim point of the shard and may have a claim for the ID.
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

type claimPoint struct {
	open   bool      // this node is the claim point
	fence  time.Time // request IDs created earlier are refused
	claims map[string]*claim
}

// Deduplicator keeps the claims of all shards of which this node is the claim point; it is safe for concurrent use.
type Deduplicator struct {
	options Options

	mu      sync.Mutex
	shards  map[shardKey]*claimPoint
	expiry  expiryHeap
	answers []*claim // claims with an answer, oldest answer first
	bytes   int
}

// New returns an empty deduplicator.
func New(options Options) *Deduplicator {
	return &Deduplicator{options: options, shards: make(map[shardKey]*claimPoint)}
}

// ParseRequestID returns the creation time of a request ID, in whole milliseconds, and its canonical form.
func ParseRequestID(requestID string) (time.Time, string, error) {
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

// Claim claims a request ID if it is new, and returns whether the request may run.
func (d *Deduplicator) Claim(
	service string, shard broker.ShardName, requestID string, now time.Time,
) (Decision, error) {
	created, id, err := ParseRequestID(requestID)
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
	point := d.point(key)
	if c, ok := point.claims[id]; ok {
		if c.answer != nil {
			return Decision{Kind: DecisionAnswer, Answer: c.answer}, nil
		}
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonDuplicate}, nil
	}
	switch {
	case !point.open:
		return Decision{Kind: DecisionElsewhere, Reason: broker.ReasonNotOwner}, nil
	case now.Sub(created) > d.options.Window:
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonExpiredID}, nil
	case created.Before(point.fence):
		return Decision{Kind: DecisionUnknown, Reason: broker.ReasonFenced}, nil
	case len(d.expiry) >= d.options.Claims:
		return Decision{Kind: DecisionNotRun, Reason: broker.ReasonOverloaded}, nil
	}
	d.add(point, &claim{shard: key, id: id, created: created, claimed: now})
	return Decision{Kind: DecisionRun}, nil
}

// Finish stores the answer of a claimed request. If the answer is notRun, the claim is removed, so that the request can
// be sent again with the same ID.
func (d *Deduplicator) Finish(service string, shard broker.ShardName, requestID string, answer *broker.Answer) {
	_, id, err := ParseRequestID(requestID)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	point := d.shards[shardKey{service, shard}]
	if point == nil || point.claims[id] == nil || point.claims[id].answer != nil {
		return
	}
	c := point.claims[id]
	switch answer.Status {
	case broker.StatusNotRun:
		delete(point.claims, id)
		heap.Remove(&d.expiry, c.index)
	case broker.StatusOutcomeUnknown: // a repeated ID gets outcomeUnknown without a stored answer
	default:
		d.storeAnswer(c, answer)
	}
}

// Fence makes this node the claim point of the shard without the claims of the previous one: IDs created before at plus
// the clock skew are refused. A shard accepts claims only after Fence or Import.
func (d *Deduplicator) Fence(service string, shard broker.ShardName, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	point := d.point(shardKey{service, shard})
	point.open = true
	if fence := at.Add(d.options.Skew); fence.After(point.fence) {
		point.fence = fence
	}
}

// Export returns the claims of a shard, sorted by request ID, for the next claim point; this node is no longer the
// claim point. IDs without an answer are outcomeUnknown at the next one.
func (d *Deduplicator) Export(service string, shard broker.ShardName, now time.Time) broker.ShardClaims {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	key := shardKey{service, shard}
	point := d.point(key)
	exported := broker.ShardClaims{Service: service, Shard: shard, Fence: point.fence}
	for id, c := range point.claims {
		exported.Claims = append(exported.Claims, broker.Claim{RequestID: id, Claimed: c.claimed, Answer: c.answer})
	}
	slices.SortFunc(exported.Claims, func(a, b broker.Claim) int {
		return strings.Compare(a.RequestID, b.RequestID)
	})
	point.open = false
	return exported
}

// Import makes this node the claim point with the claims that a previous one exported. It never moves the fence
// back, because a delayed export of an earlier claim point lacks the claims of later ones.
func (d *Deduplicator) Import(claims broker.ShardClaims, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	key := shardKey{claims.Service, claims.Shard}
	point := d.point(key)
	point.open = true
	if claims.Fence.After(point.fence) {
		point.fence = claims.Fence
	}
	for i := range claims.Claims {
		created, id, err := ParseRequestID(claims.Claims[i].RequestID)
		if err != nil || now.Sub(created) > d.options.Window {
			continue
		}
		c := point.claims[id]
		if c == nil {
			c = &claim{shard: key, id: id, created: created, claimed: claims.Claims[i].Claimed}
			d.add(point, c)
		}
		if c.answer == nil && claims.Claims[i].Answer != nil {
			d.storeAnswer(c, claims.Claims[i].Answer)
		}
	}
}

// Len returns the number of claims and the total size of their answers in bytes.
func (d *Deduplicator) Len() (claims, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.expiry), d.bytes
}

func (d *Deduplicator) point(key shardKey) *claimPoint {
	point := d.shards[key]
	if point == nil {
		point = &claimPoint{claims: make(map[string]*claim)}
		d.shards[key] = point
	}
	return point
}

func (d *Deduplicator) add(point *claimPoint, c *claim) {
	point.claims[c.id] = c
	heap.Push(&d.expiry, c)
}

// storeAnswer stores an answer and drops the oldest ones if they exceed the size limit; their claims are kept.
func (d *Deduplicator) storeAnswer(c *claim, answer *broker.Answer) {
	encoded, err := json.Marshal(answer)
	if err != nil || len(encoded) > d.options.AnswerBytes {
		return
	}
	c.answer, c.bytes = answer, len(encoded)
	d.bytes += c.bytes
	d.answers = append(d.answers, c)
	for d.bytes > d.options.AnswerBytes {
		d.dropAnswer(d.answers[0])
		d.answers = d.answers[1:]
	}
}

func (d *Deduplicator) dropAnswer(c *claim) {
	d.bytes -= c.bytes
	c.answer, c.bytes = nil, 0
}

// expire removes claims whose request ID is older than the window.
func (d *Deduplicator) expire(now time.Time) {
	for len(d.expiry) > 0 && now.Sub(d.expiry[0].created) > d.options.Window {
		c := heap.Pop(&d.expiry).(*claim)
		delete(d.shards[c.shard].claims, c.id)
		if c.answer != nil {
			d.dropAnswer(c)
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
