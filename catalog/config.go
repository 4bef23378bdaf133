// Package catalog holds the routes, services, models and replicas that operators
// and endpoints declare to an edge instance, and decides when a newer version of
// a declaration replaces an older one. It does no I/O and reads no clock.
//
// The serve program uses package table instead, which also validates and edits
// the operators' table. Package fleet holds only identities that both programs share.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophaven/hyssophaven/finding"
)

// RequestKind is the kind of a route's requests. It determines whether a request
// can run more than once and whether its answer is a stream.
type RequestKind uint8

// The kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a sequence of events.
	Stream
)

var requestKindNames = [...]string{"non-idempotent", "idempotent", "stream"}

// String returns the name of the kind for logs and metrics.
func (k RequestKind) String() string { return requestKindNames[k] }

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version      int64
	Limits       Limits
	Services     map[string]*Service
	routesByHost map[string][]*Route // by host name, longest prefix first
	routes       []*Route
	customers    *customers        // nil if the config names no customers
	models       map[string]*Model // of all engines
	// Findings are the problems of entries that are ignored or ambiguous.
	Findings []finding.Finding
}

// NewConfig returns a config with the given services and routes.
func NewConfig(version int64, limits Limits, services []*Service, routes []*Route) *Config {
	c := &Config{
		Version: version, Limits: limits, Services: make(map[string]*Service, len(services)),
		routesByHost: make(map[string][]*Route), routes: routes, models: make(map[string]*Model),
	}
	for _, s := range services {
		c.Services[s.Name] = s
		if s.Engine == nil {
			continue
		}
		for i := range s.Engine.Models {
			c.models[s.Engine.Models[i].Name] = &s.Engine.Models[i]
		}
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns all routes in the order in which they are declared.
func (c *Config) Routes() []*Route { return c.routes }

// FindRoute returns the route of host with the longest prefix that matches path, or
// nil if there is none. A port in host is ignored.
func (c *Config) FindRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// FindModel returns a model that an engine of the config serves, or nil if none does.
func (c *Config) FindModel(name string) *Model { return c.models[name] }

// Limits bounds what a caller can send and how slowly. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // limit for receiving the head of a request
	IdleTimeout    time.Duration // limit between two requests on a connection
}

// Max returns limits that allow what either l or other allows.
func (l Limits) Max(other Limits) Limits {
	return Limits{
		MaxHeaderBytes: maxLimit(l.MaxHeaderBytes, other.MaxHeaderBytes), MaxBodyBytes: maxLimit(l.MaxBodyBytes, other.MaxBodyBytes),
		HeaderTimeout: maxLimit(l.HeaderTimeout, other.HeaderTimeout), IdleTimeout: maxLimit(l.IdleTimeout, other.IdleTimeout),
	}
}

// maxLimit returns the larger of two limits, of which 0 is none.
func maxLimit[T int | int64 | time.Duration](a, b T) T {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// Route maps requests for one host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Timeout limits the time from a request to the end of its answer.
	Timeout time.Duration
	// LatencyTarget is the target latency: the time to the full answer, or to the first
	// event of a stream. Only a request that meets it has its full value.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the time between two events of a stream.
	EventGapTarget time.Duration
	// Rank is the urgency of the route's requests; 0 is the most urgent.
	Rank int
	// Targets are the services among which requests are split by weight.
	Targets []Target
	// MaxAttempts is the maximum number of replicas on which one request may run.
	MaxAttempts int
	// PrefixAffinity is the setting to prefer replicas that have processed the same
	// parts of the prompt. Package dispatch does so for every request that names its
	// parts, whatever the setting.
	PrefixAffinity bool
	// Public is true if requests need no customer's key.
	Public bool
	// Resumable is true if a broken stream can continue on another replica after
	// the last event that was received.
	Resumable bool
}

// Target is a service and its weight in the split of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route can run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service for the request with the given id. Every instance
// returns the same service for the same id.
func (r *Route) PickService(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	n := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}

// Service is a set of replicas that answer the same requests.
type Service struct {
	Name   string
	Engine *Engine // nil if the service runs no model engine
}

// Engine describes the model engine that every replica of a service runs.
type Engine struct {
	Slots         int // requests that run concurrently
	KVCacheTokens int // capacity of the KV cache, for prompts and answers
	// KVBytesPerToken is the size of one token in the KV cache, and KVTransferMbps the
	// rate in megabits per second at which a replica can take prompt parts from the
	// cache of another one. Either is 0 if replicas can't.
	KVBytesPerToken, KVTransferMbps float64
	WeightsMB                       float64
	AdapterSlots                    int
	LoadsPerSecond                  float64 // rate of loads from the weight store, over all replicas
	Models                          []Model
	modelsByName                    map[string]*Model
}

// IndexModels builds the index that the method Model uses. It must be called once, before the
// engine is shared between goroutines.
func (e *Engine) IndexModels() {
	e.modelsByName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		e.modelsByName[e.Models[i].Name] = &e.Models[i]
	}
}

// Model returns the model with the given name, or nil if there is none.
func (e *Engine) Model(name string) *Model { return e.modelsByName[name] }

// Model is a set of weights with the adapters that fit it. The times are the
// durations of a load from each source.
type Model struct {
	Name           string
	WeightsMB      float64
	StoreLoadTime  time.Duration // load from the weight store
	MemoryLoadTime time.Duration // load from the replica's main memory
	DiskLoadTime   time.Duration // load from the replica's disk
	Adapters       []string
	AdapterMB      float64
}

// HasAdapter reports whether an adapter of the model is declared.
func (m *Model) HasAdapter(name string) bool { return slices.Contains(m.Adapters, name) }
