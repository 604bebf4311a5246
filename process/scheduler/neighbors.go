package scheduler

import (
	"github.com/corianderhook/corianderhook/sharing/separation"
	"github.com/corianderhook/corianderhook/wire"
)

// WithNeighbors makes the scheduler keep queues apart as the view tells.
func WithNeighbors(v *separation.View) Option { return func(s *Scheduler) { s.neighbors = v } }

// attachNeighbors records that an agent has opened a session.
func (s *Scheduler) attachNeighbors(agent string) {
	if s.neighbors != nil {
		s.neighbors.Attach(agent)
	}
}

// learnNeighbors applies what a frame of an agent says about the queues at its endpoint.
func (s *Scheduler) learnNeighbors(agent string, f *wire.SidecarFrame) {
	if s.neighbors != nil {
		s.neighbors.Update(agent, f.GetRoom(), f.GetSlowings(), f.GetSeen(), s.host.Now())
	}
}

// applyNeighbors sets what it costs to put tasks of a job beside those at each candidate.
func (s *Scheduler) applyNeighbors(j *job) {
	if s.neighbors != nil {
		s.neighbors.Apply(j.queue.Name, s.candidates)
	}
}

// recordNeighbor records that a task of a job is sent with the frame of the given number.
func (s *Scheduler) recordNeighbor(agent string, frame uint64, j *job) {
	if s.neighbors != nil {
		s.neighbors.RecordSent(agent, frame, j.queue.Name)
	}
}

// tickNeighbors decides which queues are kept apart, and logs what has changed.
func (s *Scheduler) tickNeighbors() {
	if s.neighbors == nil {
		return
	}
	for _, c := range s.neighbors.Tick(s.host.Now(), s.fleet.Contains) {
		if c.Apart {
			s.host.LogDecision("CH1070 queues kept apart", "", "queue", c.Queue, "beside", c.Neighbor,
				"factor", c.Factor, "pairs", c.Pairs, "endpoints", c.Endpoints, "deviations", c.Deviations)
			continue
		}
		s.host.LogDecision("CH1071 queues not kept apart any more", "", "queue", c.Queue, "beside", c.Neighbor, "reason", c.Reason)
	}
}
