package estimator

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, which other processes on a busy machine
// disturb less than the time that passes.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
