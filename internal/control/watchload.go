package control

// watchLoad is the number of open watches of a server, and how many of them can migrate to another.
type watchLoad struct {
	watches, movable int
}

const (
	minLoadTolerance     = 2  // in watches
	loadToleranceDivisor = 10 // the tolerance is a server's fair share divided by this number
	// migrationDivisor limits how many watches migrate at a time: the number of a server's watches divided
	// by migrationDivisor.
	migrationDivisor = 20
)

// loadTolerance returns by how many watches a server may exceed its fair share before it ends any: a
// tenth of the fair share, or minLoadTolerance if that is more. Readers choose among the other servers
// by themselves, so with no tolerance watches would keep migrating.
func loadTolerance(fairShare int) int { return max(minLoadTolerance, fairShare/loadToleranceDivisor) }

// excessWatches returns how many watches a server should end now, so that their readers reconnect to
// servers that have fewer. That is at most a twentieth of its watches, or one if that is more.
func excessWatches(own watchLoad, others []watchLoad) int {
	if len(others) == 0 {
		return 0
	}
	totalWatches, fewestWatches := own.watches, own.watches
	for _, o := range others {
		totalWatches, fewestWatches = totalWatches+o.watches, min(fewestWatches, o.watches)
	}
	fairShare := (totalWatches + len(others)) / (len(others) + 1) // rounded up
	excess := own.watches - fairShare - loadTolerance(fairShare)
	if excess <= 0 || fewestWatches >= fairShare {
		return 0
	}
	return min(excess, max(own.watches/migrationDivisor, 1), own.movable)
}
