package agent

const (
	// RuntimeMemoryShare is the share of limits.memory_mb at which the Go runtime collects garbage all the time to
	// stay below it. The pages of the program's file, which the runtime doesn't count, need the rest.
	RuntimeMemoryShare = 0.6
	// idleMemory is what an agent without connections takes, and memoryPerSocket what a connection takes: its
	// buffers, its goroutines, and the messages of up to unreservedBytes that it holds.
	idleMemory      = 4 << 20
	memoryPerSocket = 16 << 10
	// minReservable is the least share of limits.memory_mb that connections may reserve in total.
	minReservable = 0.125
	// The shares of the reservable memory: for the requests that are read or handled, for the responses of
	// backends, for heads while net/http parses them, and for what clients send ahead.
	requestShare, answerShare, parsingShare, readAheadShare = 0.5, 0.25, 0.15, 0.1
	// unreservedBytes is how much of a body, or of a head that is incomplete, a connection holds without a
	// reservation.
	unreservedBytes = 4 << 10
	// unreservedHeadBytes is the size up to which a head is parsed without a reservation.
	unreservedHeadBytes = 512
	// maxParsing is the largest budget for parsing: one of the largest heads. More of them at once would take
	// processor time from other requests.
	maxParsing = (maxHeadBytes*parsedBytesPerByte + maxHeadBytes/3*parsedBytesPerLine)
	// maxHeadBytes is the size of the largest head that net/http accepts: http.Server.MaxHeaderBytes and its buffer.
	maxHeadBytes = maxBodyBytes + 4<<10
)

// memoryBudgets are the budgets of an agent.
type memoryBudgets struct {
	requests *memoryBudget // heads and bodies of clients' requests
	answers  *memoryBudget // bodies of backends' responses
	parsing  *memoryBudget // heads of both while net/http parses them
	// readAhead limits the memory of what clients send ahead, in bytes. Nothing waits for it.
	readAhead int
}

// newMemoryBudgets divides the memory that the limits leave to the messages on all connections.
func newMemoryBudgets(limits Limits) *memoryBudgets {
	total := limits.MemoryMB * (1 << 20)
	reservable := max(total*RuntimeMemoryShare-idleMemory-float64(memoryPerSocket*limits.Sockets), total*minReservable)
	share := func(x float64) int64 { return int64(reservable * x) }
	return &memoryBudgets{
		requests:  newMemoryBudget(share(requestShare)),
		answers:   newMemoryBudget(share(answerShare)),
		parsing:   newMemoryBudget(min(share(parsingShare), maxParsing)),
		readAhead: int(min(share(readAheadShare), maxReadAheadTotal)),
	}
}

// The memory that a parsed head takes: a header field of one byte takes a string, a slice and its share of a map
// that has just grown.
const (
	parsedBytesPerLine = 128
	parsedBytesPerByte = 3
)
