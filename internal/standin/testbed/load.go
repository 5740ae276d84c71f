package testbed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/pkg/caller"
)

const queryTimeout = 2 * time.Second

// Result is a query with its answer or error.
type Result struct {
	Query   caller.Query
	Answer  caller.Answer
	Err     error
	Start   time.Time
	Elapsed time.Duration
}

// Load sends queries from concurrent callers through one client.
type Load struct {
	Client   *caller.Client
	Callers  int
	Interval time.Duration // between the queries of one caller
	// ReportEvery makes every n-th query a report; zero sends only searches.
	ReportEvery uint64
	// OnResult is called with each result; calls can be concurrent.
	OnResult func(Result)

	lastNumber atomic.Uint64
}

// Run sends queries until ctx ends and returns when all of them are answered.
func (l *Load) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for range l.Callers {
		callers.Go(func() {
			ticker := time.NewTicker(l.Interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					l.sendQuery(context.WithoutCancel(ctx))
				}
			}
		})
	}
	callers.Wait()
}

func (l *Load) sendQuery(ctx context.Context) {
	number := l.lastNumber.Add(1)
	query := Search(number)
	if l.ReportEvery > 0 && number%l.ReportEvery == 0 {
		query = Report(number)
	}
	start := time.Now()
	answer, err := l.Client.Query(ctx, query)
	l.OnResult(Result{Query: query, Answer: answer, Err: err, Start: start, Elapsed: time.Since(start)})
}

// Search returns a search whose body is unique to the number.
func Search(number uint64) caller.Query {
	return caller.Query{
		RequestID: uuid.Must(uuid.NewV7()).String(), Kind: SearchKind, Limit: QueryLimit, Body: Body(number),
		Timeout: queryTimeout,
	}
}

// Report returns a non-idempotent request whose key and body are unique to the number.
func Report(number uint64) caller.Query {
	query := Search(number)
	query.Kind, query.Key, query.Limit = IntakeKind, fmt.Sprintf("site-%d", number), 1
	return query
}
