// Package engine implements a fake model engine for tests: an HTTP handler with the chat-completions API, the
// KServe v2 model repository extension and adapter loading. The generated text is a pure function of the model and
// the prompt; timing, memory and faults are configurable.
package engine

import (
	"log/slog"
	"time"
)

// Options configures a Server. With the zero value, the server answers at once, without limits on load or memory.
type Options struct {
	Logger            *slog.Logger
	Models            []Model       // loaded at start
	MemoryTotalMB     int64         // accelerator memory, mebibytes; 0 for no limit
	KVTokenKB         int64         // KV cache of one token of a running request, kibibytes
	Concurrency       int           // running requests; further ones wait; 0 for no limit
	FirstToken        time.Duration // to the first token: warm server, single request, no cached prefix
	BetweenTokens     time.Duration // between two tokens: warm server, single request
	BatchSlowdown     float64       // share of time added by each further running request, e.g. 0.05
	ColdFactor        float64       // factor on token times right after a start; falls linearly to 1 over WarmUp
	WarmUp            time.Duration // from a start until the server is warm
	OverloadLimitCold int           // concurrent requests above which a newly started server crashes; 0 to use OverloadLimitWarm
	OverloadLimitWarm int           // concurrent requests above which a warm server crashes; 0 for no limit
	DownTime          time.Duration // time without service after a crash
	CacheBlocks       int           // capacity of the prefix cache in blocks of 16 words; 0 disables it
	CacheSaving       float64       // share of the first-token time saved by a fully cached prompt
	LoadTime          time.Duration // of one model
	UnloadTime        time.Duration // of one model
	AdapterTime       time.Duration // of one adapter while at most AdapterSlots are in flight
	AdapterSlots      int           // adapter loads in flight at full speed; 0 for no limit
	AdapterMB         int64         // memory of one adapter, mebibytes
	Fencing           bool          // rejects model orders with a fencing number lower than the highest one seen
}

// Model is a model that is loaded at start.
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
