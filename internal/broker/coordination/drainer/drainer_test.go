package drainer

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrain guards against a planned stop that ends while a request is in progress or accepts requests after Refuse.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []string
		d := New(func(from, to string) { changes = append(changes, from+">"+to) })
		if d.Begin() {
			t.Fatal("Begin() before Serve: got true, want false")
		}
		if err := d.Serve(); err != nil {
			t.Fatal(err)
		}
		if !d.Begin() {
			t.Fatal("Begin() while serving: got false, want true")
		}
		if err := d.Leave(); err != nil {
			t.Fatal(err)
		}
		if !d.Begin() {
			t.Fatal("Begin() while leaving: got false, want true until Refuse")
		}
		d.Refuse()
		if d.Begin() {
			t.Error("Begin() after Refuse: got true, want false")
		}
		waited := make(chan error, 1)
		go func() { waited <- d.Wait(t.Context()) }()
		d.End()
		synctest.Wait()
		select {
		case err := <-waited:
			t.Fatalf("Wait() with a request in progress: got %v, want it to block", err)
		default:
		}
		d.End()
		if got := <-waited; got != nil {
			t.Errorf("Wait(): got %v, want nil", got)
		}
		want := []string{"starting>serving", "serving>leaving", "leaving>stopped"}
		if !slices.Equal(changes, want) {
			t.Errorf("states: got %v, want %v", changes, want)
		}
	})
}

// TestDrainDeadline guards against a stop that waits forever, and against one that does not report unfinished requests.
func TestDrainDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(func(string, string) {})
		if err := errors.Join(d.Serve()); err != nil {
			t.Fatal(err)
		}
		d.Begin()
		if err := d.Leave(); err != nil {
			t.Fatal(err)
		}
		d.Refuse()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var got *Error
		if err := d.Wait(ctx); !errors.As(err, &got) || got.Kind != KindDeadline {
			t.Errorf("Wait() at the deadline: got %v, want kind %s", err, KindDeadline)
		}
		if got, want := d.State(), StateLeaving; got != want {
			t.Errorf("State(): got %s, want %s", got, want)
		}
	})
}
