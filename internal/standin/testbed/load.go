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

// Result is one query with its answer or error.
type Result struct {
	Query   caller.Query
	Answer  caller.Answer
	Err     error
	Begin   time.Time
	Elapsed time.Duration
}

// Load sends queries through a caller's client.
type Load struct {
	Client   *caller.Client
	Callers  int
	Interval time.Duration // between two queries of one caller
	// ReportEvery makes one query in so many a report; zero sends none.
	ReportEvery uint64
	// Done takes each result; calls overlap.
	Done func(Result)

	number atomic.Uint64
}

// Run returns after ctx ends and all queries have their answer.
func (l *Load) Run(ctx context.Context) {
	var running sync.WaitGroup
	for range l.Callers {
		running.Go(func() {
			ticker := time.NewTicker(l.Interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					l.one(context.WithoutCancel(ctx))
				}
			}
		})
	}
	running.Wait()
}

func (l *Load) one(ctx context.Context) {
	number := l.number.Add(1)
	query := Search(number)
	if l.ReportEvery > 0 && number%l.ReportEvery == 0 {
		query = Report(number)
	}
	begin := time.Now()
	answer, err := l.Client.Query(ctx, query)
	l.Done(Result{Query: query, Answer: answer, Err: err, Begin: begin, Elapsed: time.Since(begin)})
}

// Search returns a search that differs for each number.
func Search(number uint64) caller.Query {
	return caller.Query{
		RequestID: uuid.Must(uuid.NewV7()).String(), Kind: SearchKind, Limit: QueryLimit, Body: Body(number),
		Timeout: queryTimeout,
	}
}

// Report returns a non-idempotent request that differs for each number.
func Report(number uint64) caller.Query {
	query := Search(number)
	query.Kind, query.Key, query.Limit = IntakeKind, fmt.Sprintf("site-%d", number), 1
	return query
}
