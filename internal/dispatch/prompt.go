package dispatch

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferred servers of a prompt are taken to hold its shared parts even if this gateway did not send them:
	// the other gateways prefer the same ones.
	firstPreferred, secondPreferred = 0.7, 0.3
)

// Prompt is the prompt of one request.
type Prompt struct {
	Total     int
	parts     []promptPart
	preferred [2]string // servers that every gateway prefers for these shared parts
}

type promptPart struct {
	hash   uint64 // of the model and all parts up to this one
	tokens int
	shared bool
}

// Part is one part of a prompt as the caller names it.
type Part struct {
	ID     string
	Tokens int
}

// NewPrompt describes a prompt for a model and adapter. The last part belongs to the request or its session. servers
// are the IDs of the candidates, from which every gateway derives the same preference.
func NewPrompt(model string, total int, parts []Part, servers []string) Prompt {
	p := Prompt{Total: total}
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
	p.preferred = prefer(shared, servers)
	return p
}

// prefer returns the two servers with the highest hash of the key, so that a change of the servers moves only the
// prompts of the servers that changed.
func prefer(key uint64, servers []string) [2]string {
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

// uncached estimates the tokens that the server must read.
func (p Prompt) uncached(s *server, id string, now time.Duration) float64 {
	cached := 0.0
	known := true
	belief := 0.0
	switch id {
	case p.preferred[0]:
		belief = firstPreferred
	case p.preferred[1]:
		belief = secondPreferred
	}
	for _, part := range p.parts {
		if at, ok := s.prefixes[part.hash]; known && ok && now-at < prefixAge {
			cached += float64(part.tokens)
			continue
		}
		known = false
		if part.shared {
			cached += belief * float64(part.tokens)
		}
	}
	return max(1, float64(p.Total)-cached)
}

// remember records that the server reads the prompt.
func (p Prompt) remember(s *server, now time.Duration) {
	if len(s.prefixes) > maxPrefixes {
		maps.DeleteFunc(s.prefixes, func(_ uint64, at time.Duration) bool { return now-at > prefixAge/2 })
	}
	for _, part := range p.parts {
		s.prefixes[part.hash] = now
	}
}
