package server

import "time"

// Job is the work of one request in a Model.
type Job struct {
	Work           float64       // work in milliseconds of a standard core
	Key            uint64        // affinity key; a recently used key reduces the work; 0: no key
	ExpiresAt      time.Duration // time at which the job is dropped unless it has started; 0: never
	SenderNotified bool          // the sender had been notified of the server's start

	ArrivedAt time.Duration
	StartedAt time.Duration // time at which the work on the job started; 0: not started
	EndedAt   time.Duration

	remainingWork float64
	state         jobState
	done          chan struct{} // closed by the Server when the job ends
}

// jobState is the state of a job in the model.
type jobState uint8

const (
	jobInactive jobState = iota // not arrived, rejected, canceled or ended
	jobQueued
	jobRunning
)

// Expired reports whether a job that has ended was dropped before it was started.
func (j *Job) Expired() bool { return j.StartedAt == 0 && j.remainingWork > 0 }

// Admission is the model's decision about a job that arrives.
type Admission uint8

// The possible decisions.
const (
	Admitted Admission = iota
	Rejected           // the slots and the queue are full, or the server has crashed
)

// removeJob returns the jobs without j, in the same order. It modifies the slice.
func removeJob(jobs []*Job, j *Job) []*Job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}
