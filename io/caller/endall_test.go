package caller

import (
	"testing"
	"time"

	"tanagerroad/core/request"
)

// TestEndAllBlocksOnBusyExecution guards against a stop that hangs: an execution with as
// many events as its channel holds needs the entry's lock before it takes the next.
func TestEndAllBlocksOnBusyExecution(t *testing.T) {
	e := &Entry{executions: map[*execution]bool{}}
	x := &execution{entry: e, events: make(chan request.Event, eventBuffer), ctx: t.Context()}
	e.executions[x] = true
	for range eventBuffer {
		x.events <- request.Event{}
	}
	busy := make(chan struct{})
	go func() {
		<-busy
		time.Sleep(50 * time.Millisecond) // EndAll has begun
		e.serverPlace("s")                // takes the lock, as steps of executions do
		<-x.events
	}()
	done := make(chan int)
	go func() {
		close(busy)
		done <- e.EndAll()
	}()
	select {
	case n := <-done:
		if n != 1 {
			t.Errorf("ended %d executions, want 1", n)
		}
	case <-time.After(5 * time.Second):
		t.Error("EndAll has not returned after 5 s")
	}
}
