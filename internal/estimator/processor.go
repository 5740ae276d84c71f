package estimator

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, or zero if the system does not report it. Load
// from other processes on the machine distorts it less than elapsed time.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
