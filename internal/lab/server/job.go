package server

import "time"

// Job is the work of one request in a Model.
type Job struct {
	Work           float64       // milliseconds of a standard core
	Key            uint64        // a recently used key makes the work less; 0: none
	ExpiresAt      time.Duration // a job that has not started by then is dropped; 0: never
	SenderNotified bool          // the sender had been notified of the server's start

	ArrivedAt time.Duration
	StartedAt time.Duration // 0: not started
	EndedAt   time.Duration

	remainingWork float64
	state         jobState
	done          chan struct{} // closed by the Server when the job ends
}

// jobState says where in the model a job is.
type jobState uint8

const (
	jobInactive jobState = iota // not arrived, rejected, canceled or ended
	jobQueued
	jobRunning
)

// Expired reports whether a job that has ended did so without being started.
func (j *Job) Expired() bool { return j.StartedAt == 0 && j.remainingWork > 0 }

// Admission is the model's decision about a job that arrives.
type Admission uint8

// The decisions.
const (
	Admitted Admission = iota
	Rejected           // all slots and queue places are taken, or the server has crashed
)

// removeJob returns the jobs without j, in their order. It reuses the slice.
func removeJob(jobs []*Job, j *Job) []*Job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}
