package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"knotrouter/internal/lab/loopback"
)

const (
	// chunkBytes bounds the bytes that are relayed in one piece.
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds the chunks that wait in one direction of a connection. When the queue is
	// full, the sender is blocked, as by a full TCP window.
	maxQueuedChunks = 64
)

// chunk is data in transit in one direction of a connection.
type chunk struct {
	data      []byte
	arrivesAt time.Time
	err       error // the read error that ended the source after the data; nil: none yet
}

var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// relayStream relays one direction of a connection until it ends. Reading and writing are separate
// goroutines, so that the delay of a chunk does not add to that of the chunks behind it.
func (l *Link) relayStream(from, to net.Conn, d *direction) {
	queue := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(from, d, queue, writerDone) })
	l.writeChunks(from, to, d, queue)
	close(writerDone)
	_ = from.SetReadDeadline(time.Now()) // ends the reader: no further data can be forwarded
	reader.Wait()
}

// readChunks queues the data that arrives on a connection until the connection ends or the writer is
// done.
func readChunks(from net.Conn, d *direction, queue chan<- chunk, writerDone <-chan struct{}) {
	for {
		buffer := *chunkBuffers.Get().(*[]byte)
		n, err := from.Read(buffer[:chunkBytes])
		c := chunk{data: buffer[:n], arrivesAt: d.arrivalTime(n), err: err}
		select {
		case queue <- c:
		case <-writerDone:
			return
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes each queued chunk at its arrival time, until the source or the link ends, or a
// connection breaks.
func (l *Link) writeChunks(from, to net.Conn, d *direction, queue <-chan chunk) {
	var carried int64
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for c := range queue {
		if !l.awaitArrival(c.arrivesAt, d, timer) {
			return
		}
		carried += int64(len(c.data))
		if limit := d.shape.Load().ResetAfter; limit > 0 && carried >= limit {
			l.Resets.Add(1)
			loopback.Reset(to)
			loopback.Reset(from)
			return
		}
		if len(c.data) > 0 {
			if _, err := to.Write(c.data); err != nil {
				loopback.Reset(from)
				return
			}
			l.Bytes.Add(int64(len(c.data)))
		}
		buffer := c.data[:cap(c.data)]
		chunkBuffers.Put(&buffer)
		if c.err != nil {
			propagateEnd(to, c.err)
			return
		}
	}
}

// awaitArrival waits until the given time, and then until the direction isn't cut. It returns false if
// the link is closed first.
func (l *Link) awaitArrival(at time.Time, d *direction, timer *time.Timer) bool {
	if wait := time.Until(at); wait > 0 {
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-l.closed:
			return false
		}
	}
	select {
	case <-d.uncut():
		return true
	case <-l.closed:
		return false
	}
}

// propagateEnd closes the write side of a connection if its source ended with EOF; the other direction
// may continue. After any other error of the source it resets the connection.
func propagateEnd(to net.Conn, sourceErr error) {
	if !errors.Is(sourceErr, io.EOF) {
		loopback.Reset(to)
		return
	}
	if conn, ok := to.(*net.TCPConn); ok {
		_ = conn.CloseWrite()
	}
}
