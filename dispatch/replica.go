package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// Load is work in flight on a replica.
type Load struct {
	Requests int // sent and not finished
	// Unread is the reading work for prompts whose first event has not come yet,
	// in tokens of a model of pace 1, by urgency level.
	Unread [LevelCount]float64
	// Adapters are the adapters that requests use, as MODEL/ADAPTER. They are
	// filled in for other instances only.
	Adapters []string
	// Models are the requests by model. They are filled in for other instances only.
	Models map[string]int
	// Unreachable says that the last connection to the replica could not be made.
	Unreachable bool
}

// Plus returns the work of both. Models and adapters are left out.
func (l Load) Plus(other Load) Load {
	sum := Load{Requests: l.Requests + other.Requests}
	for level := range sum.Unread {
		sum.Unread[level] = l.Unread[level] + other.Unread[level]
	}
	return sum
}

// Minus returns the work without a part of it, at least none.
func (l Load) Minus(part Load) Load {
	rest := Load{Requests: max(0, l.Requests-part.Requests)}
	for level := range rest.Unread {
		rest.Unread[level] = max(0, l.Unread[level]-part.Unread[level])
	}
	return rest
}

// Report is a load report of a replica.
type Report struct {
	Running, Waiting, Slots int
}

const (
	// reportLifetime is the age up to which a load report counts. Replicas
	// answer about once a second at the rates of today, and the report of a
	// replica that answers nothing says nothing.
	reportLifetime = 1500 * time.Millisecond
	// peerLifetime is the age up to which the load of other instances counts:
	// several of their reports in a row.
	peerLifetime = 2 * time.Second
	// asideBase and asideMax bound the time for which a failing replica gets no
	// work; it doubles with each failure after a trial. A crashed replica is
	// back after some seconds.
	asideBase = 400 * time.Millisecond
	asideMax  = 4 * time.Second
	// failuresToAside is the number of failures in a row, without a success
	// between, after which a replica is put aside. One failure alone is common
	// on replicas that lose a few answers in a hundred.
	failuresToAside = 2
	// failingShare is the moving share of failed requests above which a replica
	// is put aside although some succeed.
	failingShare = 0.3
	// failureWeight is the weight of the newest request in that share.
	failureWeight = 0.12
)

type replica struct {
	info     *catalog.Replica
	hash     uint64          // of the id
	adapters map[string]bool // MODEL/ADAPTER
	inUse    map[string]int  // requests by adapter
	running  map[string]int  // requests by model
	own      Load
	peers    Load
	peersAt  time.Time
	report   Report
	reportAt time.Time
	// sentSince is the number of own requests sent since the report.
	sentSince int
	// slowness is the moving ratio of measured to estimated time to the first byte.
	slowness    float64
	heard       time.Time // when an answer to this instance began last
	failures    int
	unreachable bool // the last failure was that no connection could be made
	failing     float64
	aside       time.Time // no work before this time
	asideFor    time.Duration
	trial       bool // one request is out to try the replica again
	moving      bool // it loads or unloads a model, and takes no other order
	movingUntil time.Time
	full        bool     // all places for adapters are in use
	dropping    []string // models that are being unloaded, or will be
	prefixes    prefixes
}

func newReplica(info *catalog.Replica) *replica {
	r := &replica{hash: rendezvous.Hash(info.ID), adapters: make(map[string]bool), inUse: make(map[string]int), running: make(map[string]int), slowness: 1, prefixes: newPrefixes()}
	r.update(info)
	return r
}

// update takes over a newer description. Adapters that the replica does not
// list are kept, because a load does not change the description at once.
func (r *replica) update(info *catalog.Replica) {
	r.info = info
	for key := range r.adapters {
		model, _, _ := cutAdapter(key)
		if !info.Holds(model) {
			delete(r.adapters, key)
		}
	}
	for _, m := range info.Models {
		for _, a := range m.Adapters {
			r.adapters[adapterKey(m.Name, a)] = true
		}
	}
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

func cutAdapter(key string) (model, adapter string, ok bool) {
	i := slices.Index([]byte(key), '/')
	if i < 0 {
		return key, "", false
	}
	return key[:i], key[i+1:], true
}

func (r *replica) setAdapter(model, adapter string, present bool) {
	if present {
		r.adapters[adapterKey(model, adapter)] = true
	} else {
		delete(r.adapters, adapterKey(model, adapter))
	}
}

func (r *replica) hasAdapter(model, adapter string) bool {
	return adapter == "" || r.adapters[adapterKey(model, adapter)]
}

// inFlight estimates the requests that run or wait on the replica.
func (r *replica) inFlight(now time.Time) int {
	n := r.own.Requests
	if now.Sub(r.peersAt) < peerLifetime {
		n += r.peers.Requests
	}
	if now.Sub(r.reportAt) < reportLifetime {
		n = max(n, r.report.Running+r.report.Waiting+r.sentSince)
	}
	return n
}

// unread estimates the reading work that the replica does before a new request
// of an urgency level: engines admit more urgent requests first.
func (r *replica) unread(now time.Time, level int, typical float64) float64 {
	n := 0.0
	peers := now.Sub(r.peersAt) < peerLifetime
	for l := 0; l <= level; l++ {
		n += r.own.Unread[l]
		if peers {
			n += r.peers.Unread[l]
		}
	}
	if level < LevelCount-1 && r.ownBelow(level) {
		return n // the report does not tell whose requests wait
	}
	if now.Sub(r.reportAt) < reportLifetime {
		n = max(n, float64(r.report.Waiting)*typical)
	}
	return n
}

// ownBelow reports whether less urgent work is known to wait on the replica.
func (r *replica) ownBelow(level int) bool {
	for l := level + 1; l < LevelCount; l++ {
		if r.own.Unread[l]+r.peers.Unread[l] > 0 {
			return true
		}
	}
	return false
}

// lastResort reports whether a replica that is aside may get a request because
// no other one can: it answers, though badly.
func (r *replica) lastResort() bool { return !r.info.Leaving && !r.unreachable }

// usable reports whether the replica may get a request. A replica that was put
// aside gets one request as a trial when its time is over.
func (r *replica) usable(now time.Time) bool {
	if r.info.Leaving {
		return false
	}
	return r.asideFor == 0 || (!now.Before(r.aside) && !r.trial)
}

func (r *replica) succeeded() {
	r.failures, r.asideFor, r.trial, r.unreachable = 0, 0, false, false
	r.failing *= 1 - failureWeight
}

// failed records a failure that is the replica's. It reports whether the
// replica is put aside by it.
func (r *replica) failed(now time.Time, unreachable bool) bool {
	r.failures++
	r.unreachable = unreachable
	r.failing += failureWeight * (1 - r.failing)
	wasTrial := r.trial
	r.trial = false
	if !unreachable && !wasTrial && r.failures < failuresToAside && r.failing < failingShare {
		return false
	}
	if now.Before(r.aside) {
		return false // requests sent before it was put aside fail one by one
	}
	r.asideFor = min(max(2*r.asideFor, asideBase), asideMax)
	r.aside = now.Add(r.asideFor)
	return true
}
