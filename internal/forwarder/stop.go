package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/waiter"
)

// stop removes this host from resolve answers, serves callers that still use its address, and finishes the requests in
// progress.
func (f *Forwarder) stop(force context.Context, callers *listeningServer) error {
	if err := f.drainer.Leave(); err != nil {
		return errors.WithStack(err)
	}
	end := time.Now().Add(f.reloadable.Load().StopDeadline)
	ctx, cancel := context.WithDeadline(force, end)
	defer cancel()
	defer f.cutoff.schedule(end)()
	f.awaitQuiet(ctx)
	_ = callers.listener.Close()
	f.drainer.Refuse()
	err := f.drainer.Wait(ctx)
	f.awaitAnswers(ctx)
	// Shutdown closes idle connections, which earlier would have cut off requests in transit on them. Refusals do not
	// count as in progress and may still be in transit.
	closing, cancelClosing := context.WithTimeout(force, refusalFlushTime)
	defer cancelClosing()
	_ = callers.Shutdown(closing)
	_ = callers.Close()
	if err != nil {
		return &Error{Op: "stop without cutting off requests", Kind: KindDeadline, Err: err}
	}
	return nil
}

// awaitAnswers returns once the answers to all requests have been sent. A request is no longer in progress before its answer is.
func (f *Forwarder) awaitAnswers(ctx context.Context) {
	for f.account.Answering() > 0 && ctx.Err() == nil {
		waiter.Wait(ctx, answerCheckInterval)
	}
}

// awaitQuiet returns once callers have had the time to learn of other hosts and none has sent a request for
// quietPeriod. The server is not shut down yet, because that closes idle connections on which a request may just have
// arrived.
func (f *Forwarder) awaitQuiet(ctx context.Context) {
	deadline := f.reloadable.Load().StopDeadline
	last := time.Now().Add(deadline - finishReserve)
	waiter.Wait(ctx, min(maxAddressLifetime, deadline-finishReserve))
	for time.Now().Before(last) && ctx.Err() == nil {
		quiet := time.Since(f.createdAt) - time.Duration(f.lastRequest.Load())
		if f.drainer.Active() == 0 && quiet >= quietPeriod {
			return
		}
		waiter.Wait(ctx, max(quietPeriod-quiet, quietPeriod/10))
	}
}

// stopResolving answers look-ups until callers have had the time to learn of all hosts, because this resolver may have been
// the last one that they reach, and then ends the acceptance of connections. Look-ups on open connections are still
// answered.
func (f *Forwarder) stopResolving(force context.Context, servers []*listeningServer) {
	f.stopping.Store(true)
	f.requestProbes()
	if len(f.namedHosts()) > 0 {
		waiter.Wait(force, min(maxAddressLifetime, f.reloadable.Load().StopDeadline-lookUpFlushTime))
	}
	for _, server := range servers {
		_ = server.listener.Close()
	}
	time.Sleep(lookUpFlushTime)
}

// closeAll closes servers, after refusalFlushTime at most for the answers that are being sent.
func closeAll(servers []*listeningServer) {
	ctx, cancel := context.WithTimeout(context.Background(), refusalFlushTime)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range servers {
		shutdowns.Go(func() {
			_ = server.Shutdown(ctx)
			_ = server.Close()
		})
	}
	shutdowns.Wait()
}
