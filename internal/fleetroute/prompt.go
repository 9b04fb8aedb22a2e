package fleetroute

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Probability that a prompt's preferred servers cache its shared parts although this gateway did not send them
	// there: the other gateways prefer the same servers.
	firstCachedProbability, secondCachedProbability = 0.7, 0.3
)

// Prompt is the prompt of one request, split into parts whose cache state is tracked for each server.
type Prompt struct {
	TotalTokens int
	parts       []promptPart
	preferred   [2]string // servers that every gateway prefers for the shared parts, best first
}

type promptPart struct {
	hash   uint64 // of the model and all parts up to and including this one
	tokens int
	shared bool
}

// Part is one part of a prompt, as the caller declares it.
type Part struct {
	ID     string
	Tokens int
}

// NewPrompt returns the prompt of a request to a model and adapter. total is the prompt's length in tokens. The last
// part is taken to be specific to the request or its session, the others to be shared. servers are the IDs of the
// candidates; every gateway derives the same preferred servers from the same list.
func NewPrompt(model string, total int, parts []Part, servers []string) Prompt {
	p := Prompt{TotalTokens: total}
	h := xxhash.New()
	_, _ = h.WriteString(model)
	shared := h.Sum64()
	for i, part := range parts {
		_, _ = h.WriteString("\x00" + part.ID + "\x00" + strconv.Itoa(part.Tokens))
		last := i == len(parts)-1
		p.parts = append(p.parts, promptPart{hash: h.Sum64(), tokens: part.Tokens, shared: !last})
		if !last {
			shared = h.Sum64()
		}
	}
	p.preferred = preferredServers(shared, servers)
	return p
}

// preferredServers returns the two servers with the highest hash of the key (rendezvous hashing): when servers are
// added or removed, only the prompts that prefer those servers move. An element is empty if there are too few
// servers.
func preferredServers(key uint64, servers []string) [2]string {
	var names [2]string
	var scores [2]uint64
	prefix := strconv.FormatUint(key, 16) + "/"
	for _, id := range servers {
		score := xxhash.Sum64String(prefix + id)
		switch {
		case names[0] == "" || score > scores[0]:
			names[1], scores[1] = names[0], scores[0]
			names[0], scores[0] = id, score
		case names[1] == "" || score > scores[1]:
			names[1], scores[1] = id, score
		}
	}
	return names
}

// uncachedTokens estimates how many tokens of the prompt the server has to process, at least 1.
func (p Prompt) uncachedTokens(s *server, id string, now time.Duration) float64 {
	cached := 0.0
	prefixCached := true
	cachedProbability := 0.0
	switch id {
	case p.preferred[0]:
		cachedProbability = firstCachedProbability
	case p.preferred[1]:
		cachedProbability = secondCachedProbability
	}
	for _, part := range p.parts {
		if at, ok := s.prefixes[part.hash]; prefixCached && ok && now-at < prefixTTL {
			cached += float64(part.tokens)
			continue
		}
		prefixCached = false
		if part.shared {
			cached += cachedProbability * float64(part.tokens)
		}
	}
	return max(1, float64(p.TotalTokens)-cached)
}

// recordCached records that the server now caches all parts of the prompt.
func (p Prompt) recordCached(s *server, now time.Duration) {
	if len(s.prefixes) > maxPrefixes {
		maps.DeleteFunc(s.prefixes, func(_ uint64, at time.Duration) bool { return now-at > prefixTTL/2 })
	}
	for _, part := range p.parts {
		s.prefixes[part.hash] = now
	}
}
