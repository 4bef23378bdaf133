// Package catalog holds what operators and endpoints declare: routes, services,
// models and replicas, and the pure rules by which a newer declaration replaces
// an older one. It does no I/O and reads no clock.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestKind says how often one request may run.
type RequestKind uint8

// The kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

var kindNames = [...]string{"non-idempotent", "idempotent", "stream"}

// String returns the kind's name for logs and metrics.
func (k RequestKind) String() string { return kindNames[k] }

// Config is one version of what the operators declare. It is immutable.
type Config struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	hosts    map[string][]*Route // by length of prefix, longest first
	routes   []*Route
}

// NewConfig builds a config from its parts.
func NewConfig(version int64, limits Limits, services []*Service, routes []*Route) *Config {
	c := &Config{
		Version: version, Limits: limits, Services: make(map[string]*Service, len(services)),
		hosts: make(map[string][]*Route), routes: routes,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns all routes in the order of the declaration.
func (c *Config) Routes() []*Route { return c.routes }

// Find returns the route of host whose prefix is the longest that begins path,
// or nil. A port in host is ignored.
func (c *Config) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Limits bound what a caller may send. Zero fields are unlimited.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // to send the head of a request
	IdleTimeout    time.Duration // between two requests of a connection
}

// Route leads requests of one host and path prefix to a service.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Timeout is how long a caller may be kept waiting for the end of the answer.
	Timeout time.Duration
	// Goal is the time to a full answer, or to the first event of a stream,
	// within which the request has its full worth.
	Goal time.Duration
	// EventGap is the longest pause between events that is still on time.
	EventGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// Attempts is the number of replicas on which one request may run.
	Attempts int
	// Affinity says that requests name the parts of their prompt, so that
	// replicas that have read them are preferred.
	Affinity bool
	// Resumable streams may go on at another replica after the last event.
	Resumable bool
}

// Target is one share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for the request with the given id. The same id has
// the same service in every instance.
func (r *Route) Pick(requestID string) string {
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
	Engine *Engine // nil for a plain service
}

// Engine describes the model engine that every replica of a service runs.
type Engine struct {
	Slots        int // requests that run at once
	KVTokens     int // tokens of prompts and answers that fit in memory
	WeightsMB    float64
	AdapterSlots int
	LoadsPerSec  float64 // loads from the weight store, over all replicas
	Models       []Model
	modelsByName map[string]*Model
}

// Index prepares look-ups by name. It is called once, before the engine is shared.
func (e *Engine) Index() {
	e.modelsByName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		e.modelsByName[e.Models[i].Name] = &e.Models[i]
	}
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name string) *Model { return e.modelsByName[name] }

// Model is one set of weights.
type Model struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration // from the weight store
	WarmTime  time.Duration // from the replica's memory
	DiskTime  time.Duration // from the replica's disk
	Adapters  []string
	AdapterMB float64
}
