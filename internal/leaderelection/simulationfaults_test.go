package leaderelection

// faults describes the faults of one run. Times are in steps. For pausedHolder, faultyMessage, leaderChangeAt
// and transferAt, -1 means that the fault does not occur.
type faults struct {
	pausedHolder, pauseAt, pauseSteps int
	faultyMessage                     int // sequence number of the renewal message that is lost or late
	messageDelay                      int // delay of faultyMessage, or lostMessage if it never arrives
	leaderChangeAt                    int
	rateA, rateB, rateLeader          float64 // clock rates; 1 is exact
	writeDelay                        int     // delay of each write by the first holder
	transferAt                        int     // step at which an operator transfers the task
	noWatch                           bool    // the first holder learns its assignments from renewals only
	lag                               int     // delay of each message, and of each command between its decision and the log
}

// faultCombinations returns the faults of all runs. stride is the number of steps between the
// times at which a fault is tried.
func faultCombinations(stride int) (all []faults) {
	noFaults := faults{pausedHolder: -1, faultyMessage: -1, leaderChangeAt: -1, transferAt: -1, rateA: 1, rateB: 1, rateLeader: 1}
	clocks := [][3]float64{{0.95, 1, 1.05}, {1, 1, 1}, {1, 0.95, 1.05}, {1.05, 0.95, 0.95}}
	if stride == coarseStride {
		clocks = clocks[:2]
	}
	pauses, changes, losses := pauseFaults(noFaults, stride), leaderFaults(noFaults, stride), messageFaults(noFaults, stride)
	for _, rates := range clocks {
		for _, pause := range pauses {
			for _, change := range changes {
				for _, loss := range losses {
					all = append(all, combine(pause, change, loss, rates))
				}
			}
		}
	}
	return all
}

// combine returns the faults of one run. noWatch, lag and transferAt are not varied independently,
// which would multiply the number of runs by eight. Each is derived from the parity of a sum of the
// other faults' values, so that it is set in some runs and not in others, and in the same runs each
// time. The sums themselves have no meaning.
func combine(pause, change, loss faults, rates [3]float64) faults {
	f := pause
	f.leaderChangeAt, f.faultyMessage, f.messageDelay = change.leaderChangeAt, loss.faultyMessage, loss.messageDelay
	f.rateA, f.rateB, f.rateLeader = rates[0], rates[1], rates[2]
	f.writeDelay = slowWriteSteps
	f.noWatch = (f.pauseAt/2+f.faultyMessage)%2 == 0
	// &1 rather than %2, as the sum may be negative.
	f.lag = (f.pauseAt + f.leaderChangeAt/2 + f.messageDelay) & 1
	if (f.pauseAt+f.leaderChangeAt+f.faultyMessage)%2 == 0 {
		f.transferAt = transferStep
	}
	return f
}

func pauseFaults(noFaults faults, stride int) []faults {
	all := []faults{noFaults}
	for holder := range 2 {
		for at := 2; at < 60; at += stride {
			for _, length := range []int{8, 38, 46, 90} { // a lease lasts for 40 steps
				f := noFaults
				f.pausedHolder, f.pauseAt, f.pauseSteps = holder, at, length
				all = append(all, f)
			}
		}
	}
	return all
}

func leaderFaults(noFaults faults, stride int) []faults {
	all := []faults{noFaults}
	for at := 4; at < 46; at += stride {
		f := noFaults
		f.leaderChangeAt = at
		all = append(all, f)
	}
	return all
}

func messageFaults(noFaults faults, stride int) []faults {
	all := []faults{noFaults}
	for n := 3; n < 40; n += stride {
		for _, delay := range []int{lostMessage, 6, 36} {
			f := noFaults
			f.faultyMessage, f.messageDelay = n, delay
			all = append(all, f)
		}
	}
	return all
}
