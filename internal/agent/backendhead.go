package agent

// Read reads the response to the current attempt. A head that is longer than unreservedHeadBytes is returned only
// once it is complete and the memory to parse it is reserved.
func (c *backendConn) Read(p []byte) (int, error) {
	for {
		if n := c.head.take(p); n > 0 {
			return n, nil
		}
		before, _ := c.framing.measureHead()
		n, err := c.readResponse(p)
		if n == 0 || err != nil && c.head.isEmpty() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
		size, incomplete := c.framing.measureHead()
		if size.bytes <= unreservedHeadBytes || c.head.isEmpty() && size == before {
			return n, nil // a short head, or the body
		}
		passOn, err := c.addToHead(p[:n], size, incomplete)
		if err != nil {
			return 0, err
		}
		if passOn {
			return n, nil
		}
	}
}

// addToHead is called with bytes that have just arrived and belong to a head, at least in part. It returns true if
// net/http may read them at once, and false if they were kept.
func (c *backendConn) addToHead(p []byte, size headSize, incomplete bool) (passOn bool, err error) {
	a := c.attempt.Load()
	if a == nil {
		return true, nil
	}
	if !incomplete && c.head.isEmpty() {
		return true, c.head.reserveParsing(size, a.memoryWait())
	}
	if err := c.head.add(p, a.memoryWait()); err != nil || incomplete {
		return false, err
	}
	c.head.end()
	return false, c.head.reserveParsing(size, a.memoryWait())
}

// memoryWait returns how long the attempt may wait for memory.
func (a *attempt) memoryWait() memoryWait {
	return memoryWait{deadline: a.deadline(), ended: a.ctx.Done()}
}
