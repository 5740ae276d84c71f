package forwarder

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// HeaderLoad is the header of readiness answers that carries the processor cores in use by this host.
	HeaderLoad = "Yuccarock-Load"
	// HeaderProcess is the header of readiness answers that identifies the process of this host.
	HeaderProcess = "Yuccarock-Process"
	// loadWeight is the weight of the last interval in the moving average of the load.
	loadWeight = 0.3
	// targetUtilization is the share of the serving hosts' processors that may be in use. Beyond it answers queue behind
	// each other, and the remaining hosts must be able to take over the load of a lost zone.
	targetUtilization = 0.35
	// maxShrink is the largest share by which the wanted capacity falls per second, so that hosts do not leave and return
	// while the load fluctuates.
	maxShrink = 0.01
)

// load tracks the processor use of this host and of all hosts together.
type load struct {
	cores  atomic.Uint64 // bits of the moving average of this host's cores in use
	wanted atomic.Uint64 // bits of the capacity that the serving hosts should have, in cores

	sampledAt time.Time // used by probeHosts only
	processor time.Duration
}

// ownCores returns the processor cores in use by this host.
func (l *load) ownCores() float64 { return math.Float64frombits(l.cores.Load()) }

// wantedCapacity returns the total processor cores that the serving hosts should have.
func (l *load) wantedCapacity() float64 {
	return max(minCapacity, math.Float64frombits(l.wanted.Load()))
}

// sampleProcessorTime updates ownCores from the processor time that this host has used until now.
func (l *load) sampleProcessorTime(now time.Time, processor time.Duration) {
	if elapsed := now.Sub(l.sampledAt); !l.sampledAt.IsZero() && elapsed > 0 {
		used := (processor - l.processor).Seconds() / elapsed.Seconds()
		l.cores.Store(math.Float64bits(l.ownCores() + (used-l.ownCores())*loadWeight))
	}
	l.sampledAt, l.processor = now, processor
}

// updateWanted updates the wanted capacity from the cores in use by all hosts, a time after the last update. It rises at once
// and falls slowly, equally fast on hosts that probe seldom, so that all directories name the same hosts.
func (l *load) updateWanted(cores float64, elapsed time.Duration) {
	current := math.Float64frombits(l.wanted.Load())
	l.wanted.Store(math.Float64bits(max(cores/targetUtilization, current*math.Pow(1-maxShrink, elapsed.Seconds()))))
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // not known to fail for the own process
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
