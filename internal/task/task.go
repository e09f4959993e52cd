// Package task turns functions into services of a supervision tree.
package task

import (
	"context"
	"time"
)

// Task is a named function that runs until its context ends or the function fails.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (t Task) Serve(ctx context.Context) error { return t.Run(ctx) }

// String returns the task's name for the supervisor. Without this method the supervisor would
// print the task's fields while other goroutines change them.
func (t Task) String() string { return t.Name }

// Every returns a task that calls f immediately and then at the given interval.
func Every(name string, interval time.Duration, f func(ctx context.Context)) Task {
	return Task{Name: name, Run: func(ctx context.Context) error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
			}
		}
	}}
}
