package control

// watchCount returns the number of open watches.
func (b *watchBroadcaster) watchCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openWatches
}

// load returns the number of open watches and how many of them can migrate to another server.
func (b *watchBroadcaster) load() watchLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return watchLoad{b.openWatches, len(b.movable)}
}

// register counts a new open watch and returns the channel that is closed to end that watch. It
// returns false if limit watches are already open.
func (b *watchBroadcaster) register(limit int, movable bool) (chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openWatches >= limit {
		return nil, false
	}
	b.openWatches++
	end := make(chan struct{})
	if movable {
		b.movable[end] = true
	}
	return end, true
}

// unregister removes an ended watch from the open watches.
func (b *watchBroadcaster) unregister(end chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openWatches--
	delete(b.movable, end)
}

// migrate ends up to count of the watches whose readers know other servers, chosen in map iteration
// order, and returns how many it ended.
func (b *watchBroadcaster) migrate(count int) (migrated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for end := range b.movable {
		if migrated >= count {
			break
		}
		close(end)
		delete(b.movable, end)
		migrated++
	}
	return migrated
}

// endAll signals all watches to end and returns how many are open.
func (b *watchBroadcaster) endAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.endAllSignal)
	b.endAllSignal = make(chan struct{})
	return b.openWatches
}
