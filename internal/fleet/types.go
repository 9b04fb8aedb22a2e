// Package fleet holds what a gateway knows about the fleet: the operator's configuration, the backend servers
// and the model engines. The types are free of any wire format.
package fleet

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// Repeat says what may be repeated on a route.
type Repeat int

// The kinds of routes.
const (
	// Once is a request that runs at most once.
	Once Repeat = iota
	// Idempotent is a request that may run any number of times.
	Idempotent
	// Stream is a response in events. It runs at most once unless the route is resumable.
	Stream
)

var repeatNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of r.
func (r Repeat) String() string { return repeatNames[r] }

// Configuration is one version of the operator's configuration. It is not changed after it was built.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations map[string]*Organisation
	Limits        CallerLimits
	Keys          map[KeyDigest]string // organisation by digest of its API key
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CallerLimits bound what a caller may send. Zero means no limit.
type CallerLimits struct {
	BodyBytes int64
}

// Route maps a hostname and a path prefix to services.
type Route struct {
	Name        string
	Hostname    string
	PathPrefix  string // begins and ends with a slash
	Repeat      Repeat
	Resumable   bool          // a stream may go on at another server after the last event
	Public      bool          // needs no key
	Timeout     time.Duration // from the arrival of the request to the end of its answer
	Target      time.Duration // to the whole answer, or to the first event of a stream
	GapTarget   time.Duration // longest pause between the events of a stream
	MaxAttempts int           // servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Targets     []Target
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || (r.Repeat == Stream && r.Resumable)
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int           // that one server accepts from all gateways together
	ColdStart      time.Duration // for which a server is cold after its start
	ColdPerSecond  float64       // requests a second that a cold server bears; zero if servers are never cold
	Engine         *Engine       // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // requests in one batch
	CacheTokens    int     // memory for running requests and cached prompts, in tokens
	WeightsMB      float64 // memory for weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64 // from the weight store, over all servers
	Models         map[string]*Model
}

// Model is a base model that engines can load.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Load      time.Duration // from the weight store, while few loads run
	WarmLoad  time.Duration // from the server's memory
	DiskLoad  time.Duration // from the server's disk
}

// Organisation owns keys and a limit.
type Organisation struct {
	Name        string
	HasPriority bool
	Priority    int     // goes before the route's priority if HasPriority
	Rate        float64 // tokens, or requests, a second over all gateways; zero means no limit
	Burst       float64
	ByTokens    bool  // the limit counts tokens
	PlainTokens int64 // tokens of a request that names none
}

// Replica is a backend server as the platform's list names it.
type Replica struct {
	ID          string
	Service     string
	Address     string // IP:port
	DataCentre  string
	Slots       int
	Draining    bool
	Cold        time.Duration // time for which the server stays cold, counted from the entry
	Born        int64         // start of this incarnation, Unix milliseconds; zero if not named
	Models      []HeldModel
	ListVersion int64 // version of the entry in the store
}

// HeldModel is a base model that a server holds.
type HeldModel struct {
	Name     string
	Adapters []string
}

// Report is what a model engine says of itself.
type Report struct {
	Born           int64 // Unix milliseconds
	Sequence       int64 // orders accepted in this incarnation
	Busy           bool  // an order is being carried out
	Draining       bool
	Models         []HeldModel
	PendingAdapter []string // MODEL/ADAPTER, on their way
	Nearby         []string // models in the server's memory or on its disk, which load without the weight store
}

// Names returns the models that the engine can load, in order.
func (e *Engine) Names() []string { return slices.Sorted(maps.Keys(e.Models)) }
