package state

import "maps"

// cowMap is a map that is cloned before the first change after it was shared
// with a View.
type cowMap[K comparable, V any] struct {
	entries map[K]V
	shared  bool
}

func newCowMap[K comparable, V any]() cowMap[K, V] {
	return cowMap[K, V]{entries: map[K]V{}}
}

// share returns the map for a View, which must not change it.
func (c *cowMap[K, V]) share() map[K]V {
	c.shared = true
	return c.entries
}

// writable returns the map for a change.
func (c *cowMap[K, V]) writable() map[K]V {
	if c.shared {
		c.entries = maps.Clone(c.entries)
		c.shared = false
	}
	return c.entries
}

func (c *cowMap[K, V]) get(key K) (V, bool) {
	value, exists := c.entries[key]
	return value, exists
}

func (c *cowMap[K, V]) set(key K, value V) { c.writable()[key] = value }

// remove deletes a key; it clones nothing when the key is absent.
func (c *cowMap[K, V]) remove(key K) {
	if _, exists := c.entries[key]; exists {
		delete(c.writable(), key)
	}
}
