package signaler

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// reloadingCommands are the commands that reload their settings at SIGHUP.
var reloadingCommands = []string{"host"}

// hangups receives SIGHUP from the initialization of the program on, as the signal would otherwise end a process that has just
// started.
var hangups = catchHangups(os.Args)

func catchHangups(arguments []string) chan os.Signal {
	if len(arguments) < 2 || !slices.Contains(reloadingCommands, arguments[1]) {
		return nil
	}
	return notifyHangups()
}

func notifyHangups() chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// Hangups returns a channel that receives SIGHUP, also one that came before the call, and a function that restores the default.
func Hangups() (received <-chan os.Signal, release func()) {
	caught := hangups
	if caught == nil {
		caught = notifyHangups()
	}
	return caught, func() { signal.Stop(caught) }
}

// interruptsToForce is the number of interrupts, as a terminal sends them, that end the process at once.
const interruptsToForce = 2

// Stops returns a context that is done at the first SIGTERM or SIGINT and one that is done at the second SIGINT. A SIGTERM
// during a stop changes nothing: stops of one process may overlap.
func Stops(parent context.Context, logger *slog.Logger) (stop, force context.Context, release func()) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stop, cancelStop := context.WithCancel(parent)
	force, cancelForce := context.WithCancel(context.WithoutCancel(parent))
	go func() {
		for interrupts := 0; interrupts < interruptsToForce; {
			select {
			case received := <-signals:
				if received == os.Interrupt {
					interrupts++
				}
				if stop.Err() != nil {
					logger.Info("stop signal during a planned stop", "signal", received.String(),
						"endsAtOnce", interrupts == interruptsToForce)
				}
				cancelStop()
			case <-force.Done():
				return
			}
		}
		cancelForce()
	}()
	return stop, force, func() {
		signal.Stop(signals)
		cancelStop()
		cancelForce()
	}
}
