package engine

import (
	"container/list"
	"hash/fnv"
	"strings"
)

const blockWords = 16 // words in one cache block

// prefixCache is a bounded least-recently-used cache of prompt prefixes, in blocks of words.
type prefixCache struct {
	capacity int
	order    *list.List // most recently used first; values are block hashes
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore returns the share of the prompt's blocks that was cached (0 to 1), and stores all of them.
func (c *prefixCache) lookupAndStore(model, prompt string) float64 {
	hashes := prefixHashes(model, prompt)
	if c.capacity == 0 || len(hashes) == 0 {
		return 0
	}
	cached := 0
	for _, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		cached++
	}
	for _, h := range hashes {
		c.touch(h)
	}
	return float64(cached) / float64(len(hashes))
}

func (c *prefixCache) touch(h uint64) {
	if e, ok := c.blocks[h]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[h] = c.order.PushFront(h)
	if c.order.Len() > c.capacity {
		last := c.order.Back()
		delete(c.blocks, c.order.Remove(last).(uint64))
	}
}

// prefixHashes returns one hash for each block; each covers the prompt up to the end of its block.
func prefixHashes(model, prompt string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	words := strings.Fields(prompt)
	var hashes []uint64
	for i, w := range words {
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(w))
		if (i+1)%blockWords == 0 || i == len(words)-1 {
			hashes = append(hashes, h.Sum64())
		}
	}
	return hashes
}
