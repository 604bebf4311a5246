package placement

import "time"

// Beside is what it costs to put a task beside those that run at an endpoint. It orders the
// endpoints that start the task at once and end it on time, and no others: tasks are kept apart
// where there is room. The zero value costs nothing.
type Beside struct {
	// Own is by how much of its run time the task takes longer there, Others the run time that
	// those there lose, as a share of the task's.
	Own, Others float64
	// OwnNext and OthersNext are the same for a further task of the queue.
	OwnNext, OthersNext float64
}

// delay returns by how much longer a task of the given run time takes.
func (b Beside) delay(run time.Duration) time.Duration { return time.Duration(b.Own * float64(run)) }

// cost returns the time that a task of the given run time and those beside it lose.
func (b Beside) cost(run time.Duration) time.Duration {
	return time.Duration((b.Own + b.Others) * float64(run))
}

// next returns the cost of a further task of the queue.
func (b Beside) next() Beside {
	return Beside{Own: b.OwnNext, Others: b.OthersNext, OwnNext: b.OwnNext}
}
