// Package engine is a stand-in for a model engine: an HTTP handler with the chat-completions API, the
// KServe v2 model repository extension and adapter loading, whose text is a pure function of the prompt
// and whose timing, memory and faults are configurable.
package engine

import (
	"log/slog"
	"time"
)

// Options configures a Server. The zero value answers at once, without limits on load or memory.
type Options struct {
	Logger        *slog.Logger
	Models        []Model       // resident at start
	MemoryTotalMB int64         // accelerator memory, mebibytes; 0 for no limit
	KVTokenKB     int64         // KV cache of one token of a running request, kibibytes
	Concurrency   int           // requests in the batch; more wait; 0 for no limit
	FirstToken    time.Duration // until the first token, warm, alone, without a cached prefix
	BetweenTokens time.Duration // between two tokens, warm and alone
	BatchSlowdown float64       // share of time added by each other request in the batch, e.g. 0.05
	ColdFactor    float64       // factor on all times right after a start; falls to 1 over WarmUp
	WarmUp        time.Duration // from a start until the server is warm
	BearsCold     int           // concurrent requests that a fresh server bears; 0 for no limit
	BearsWarm     int           // concurrent requests that a warm server bears; 0 for no limit
	DownTime      time.Duration // time without service after the server fell over
	CacheBlocks   int           // blocks in the prefix cache; 0 for none
	CacheSaving   float64       // share of the first-token time saved by a fully cached prompt
	LoadTime      time.Duration // of one model
	UnloadTime    time.Duration // of one model
	AdapterTime   time.Duration // of one adapter while at most AdapterSlots are in flight
	AdapterSlots  int           // adapter loads in flight at full speed; 0 for no limit
	AdapterMB     int64         // memory of one adapter, mebibytes
	Fencing       bool          // refuses model orders with an old fencing number
}

// Model is a model that is resident at start.
type Model struct {
	Name     string
	MemoryMB int64 // mebibytes
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.ColdFactor < 1 {
		o.ColdFactor = 1
	}
	return o
}
