package forwarder

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// HeaderLoad is the header of readiness answers with the processor cores that this host uses.
	HeaderLoad = "Yuccarock-Load"
	// loadWeight is the share of the last interval in the moving average of the load.
	loadWeight = 0.3
	// fullShare is the share of the serving hosts' processors up to which they take load: beyond it answers queue behind
	// each other, and the loss of a zone has to leave room.
	fullShare = 0.35
	// shrinkRate is the share of the wanted capacity by which it falls in each interval at most, so that hosts do not leave
	// and come back while the load swings.
	shrinkRate = 0.01
)

// load follows how much of the processors this host and the others use.
type load struct {
	cores  atomic.Uint64 // bits of the moving average of this host's cores in use
	wanted atomic.Uint64 // bits of the capacity that the serving hosts should have, in cores

	sampledAt time.Time // of watchHosts only
	processor time.Duration
}

// own returns the processor cores that this host uses.
func (l *load) own() float64 { return math.Float64frombits(l.cores.Load()) }

// capacity returns the cores that the hosts which serve callers should have together.
func (l *load) capacity() float64 {
	return max(minCapacity, math.Float64frombits(l.wanted.Load()))
}

// sample takes the processor time that this host has used up to now.
func (l *load) sample(now time.Time, processor time.Duration) {
	if elapsed := now.Sub(l.sampledAt); !l.sampledAt.IsZero() && elapsed > 0 {
		used := (processor - l.processor).Seconds() / elapsed.Seconds()
		l.cores.Store(math.Float64bits(l.own() + (used-l.own())*loadWeight))
	}
	l.sampledAt, l.processor = now, processor
}

// follow takes the cores that all hosts use together. The wanted capacity rises at once and falls slowly.
func (l *load) follow(cores float64) {
	held := math.Float64frombits(l.wanted.Load())
	l.wanted.Store(math.Float64bits(max(cores/fullShare, held*(1-shrinkRate))))
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // not known to fail for the own process
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
