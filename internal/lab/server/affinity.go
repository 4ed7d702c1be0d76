package server

import "time"

// keyCache is an LRU cache of the keys that a server used most recently.
type keyCache struct {
	capacity   int
	lastUsedAt map[uint64]time.Duration
	order      []uint64 // keys by their last use, oldest first
}

func newKeyCache(capacity int) keyCache {
	return keyCache{capacity: max(capacity, 1), lastUsedAt: map[uint64]time.Duration{}}
}

// usedWithin reports whether the last use of the key is at most ttl before now.
func (c *keyCache) usedWithin(key uint64, ttl, now time.Duration) bool {
	lastUsedAt, ok := c.lastUsedAt[key]
	return ok && now-lastUsedAt <= ttl
}

// use records a use of the key. A new key evicts the least recently used one if the cache is full.
func (c *keyCache) use(key uint64, now time.Duration) {
	if _, ok := c.lastUsedAt[key]; ok {
		c.removeFromOrder(key)
	} else if len(c.order) >= c.capacity {
		delete(c.lastUsedAt, c.order[0])
		c.order = c.order[1:]
	}
	c.lastUsedAt[key] = now
	c.order = append(c.order, key)
}

func (c *keyCache) removeFromOrder(key uint64) {
	for i, k := range c.order {
		if k == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}
