// Package task makes functions services of a supervision tree.
package task

import (
	"context"
	"time"
)

// Task is a named function that runs until its context ends or it fails.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (t Task) Serve(ctx context.Context) error { return t.Run(ctx) }

// String names the task to its supervisor, which would else print its fields
// while others change them.
func (t Task) String() string { return t.Name }

// Every returns a task that calls f at once and then at an interval.
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
