package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// transferConfig returns a config whose engine transfers KV cache at the given rate.
func transferConfig(mbps float64) *catalog.Config {
	engine := &catalog.Engine{Slots: 64, KVBytesPerToken: 320_000, KVTransferMbps: mbps, Models: []catalog.Model{{Name: "m", WeightsMB: 1000}}}
	engine.IndexModels()
	return &catalog.Config{Services: map[string]*catalog.Service{"llm": {Name: "llm", Engine: engine}}}
}

// sharedRequest returns a request whose prompt begins with a shared part.
func sharedRequest(id string, chain uint64, sharedTokens, ownTokens int) *Request {
	req := streamRequest(id, 1)
	req.PromptTokens = sharedTokens + ownTokens
	req.Parts = []Part{{Key: chain, Tokens: sharedTokens}, {Key: chain<<32 | uint64(len(id))<<16 | uint64(id[len(id)-1]), Tokens: ownTokens}}
	return req
}

const fastTransfer = 500_000

// Guards against prefilling shared prompt parts again that another replica has in its
// KV cache.
func TestSharedPartsComeFromReplicaThatHasThem(t *testing.T) {
	is := is.New(t)
	s := newState(engineReplica("a", "m"), engineReplica("b", "m"), engineReplica("c", "m"))
	s.SetConfig(transferConfig(fastTransfer))
	first := sharedRequest("1", 7, 6000, 1000)
	s.RecordSend(epoch, first, Decision{Replica: engineReplica("b", "m")})
	for _, other := range []string{"a", "c"} {
		source := s.prefixSource(epoch, s.service("llm"), s.replicas[other], sharedRequest("2", 7, 6000, 1000))
		is.True(source != nil)
		is.Equal(source.ID, "b")
	}
	d := s.Choose(epoch, sharedRequest("3", 7, 6000, 1000), History{Tried: []string{"b"}})
	is.Equal(d.PrefixSource.ID, "b")
}

// Guards against instances that take parts from different replicas while none of them
// knows where the parts are.
func TestUnknownSourceIsTheSameForAllInstances(t *testing.T) {
	is := is.New(t)
	var sources []string
	for seed := range uint64(5) {
		s := newState(engineReplica("a", "m"), engineReplica("b", "m"), engineReplica("c", "m"))
		s.options.Seed = seed
		s.SetConfig(transferConfig(fastTransfer))
		sources = append(sources, s.prefixSource(epoch, s.service("llm"), s.replicas["a"], sharedRequest("1", 7, 6000, 1000)).ID)
	}
	for _, id := range sources {
		is.Equal(id, sources[0])
	}
}

// Guards against transfers that cost more than they save, and against sources that
// can't have the parts.
func TestPartsAreNotTakenInVain(t *testing.T) {
	long, short := sharedRequest("1", 7, 6000, 1000), sharedRequest("1", 7, 500, 1000)
	unshared := streamRequest("1", 1)
	leaving, loading := engineReplica("b", "m"), engineReplica("b", "x")
	leaving.Leaving = true
	for name, c := range map[string]struct {
		req   *Request
		other *catalog.Replica
		mbps  float64
		after func(*State)
	}{
		"short part":             {req: short, mbps: fastTransfer},
		"no shared part":         {req: unshared, mbps: fastTransfer},
		"slow transfer":          {req: long, mbps: 20_000},
		"no transfer":            {req: long},
		"leaving source":         {req: long, mbps: fastTransfer, other: leaving},
		"source without model":   {req: long, mbps: fastTransfer, other: loading},
		"source unloads model":   {req: long, mbps: fastTransfer, after: func(s *State) { s.replicas["b"].unloading = []string{"m"} }},
		"source that is ejected": {req: long, mbps: fastTransfer, after: func(s *State) { s.replicas["b"].recordFailure(epoch, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other := c.other
			if other == nil {
				other = engineReplica("b", "m")
			}
			s := newState(engineReplica("a", "m"), other)
			s.SetConfig(transferConfig(c.mbps))
			if c.after != nil {
				c.after(s)
			}
			is.Equal(s.prefixSource(epoch, s.service("llm"), s.replicas["a"], c.req), nil)
		})
	}
}

// replayedCache is the KV cache of a replica in a replay.
type replayedCache struct {
	lastUse map[uint64]time.Time
}

// use records that the replica needs a part at now, and returns whether it had it.
func (c *replayedCache) use(now time.Time, part uint64, capacity int) bool {
	_, had := c.lastUse[part]
	c.lastUse[part] = now
	if len(c.lastUse) > capacity {
		oldest := part
		for other, at := range c.lastUse {
			if at.Before(c.lastUse[oldest]) || at.Equal(c.lastUse[oldest]) && other < oldest {
				oldest = other
			}
		}
		delete(c.lastUse, oldest)
	}
	return had
}

func (c *replayedCache) has(part uint64) bool { return !c.lastUse[part].IsZero() }

func cachedElsewhere(caches map[string]*replayedCache, address string, part uint64) bool {
	for other, c := range caches {
		if other != address && c.has(part) {
			return true
		}
	}
	return false
}

// replaySharedPrompts replays prompts with shared parts that several instances send to
// the replicas of one model. It returns how often a replica prefilled a part that
// another replica had cached.
func replaySharedPrompts(seed uint64) (prefilledAgain, prompts int) {
	const (
		instances = 12
		replicas  = 6
		chains    = 40
		capacity  = 20 // parts in the cache of a replica
		requests  = 2000
		interval  = 25 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 0))
	var states []*State
	caches := make(map[string]*replayedCache)
	for i := range instances {
		s := newState()
		s.options.Seed = uint64(i)
		s.SetConfig(transferConfig(fastTransfer))
		for r := range replicas {
			info := engineReplica(fmt.Sprint("replica-", r), "m")
			info.Slots, info.Address = 64, fmt.Sprintf("10.0.0.%d:80", r)
			s.SetReplica(info.ID, info)
			caches[info.Address] = &replayedCache{lastUse: make(map[uint64]time.Time)}
		}
		states = append(states, s)
	}
	now := epoch
	for i := range requests {
		now = now.Add(interval)
		s, chain := states[random.IntN(instances)], uint64(1+random.IntN(chains))
		req := sharedRequest(fmt.Sprint(i), chain, 6000, 1000)
		req.Arrived, req.Deadline = now, now.Add(5*time.Second)
		s.RecordArrival(now, req)
		d := s.Choose(now, req, History{})
		prefill := s.RecordSend(now, req, d)
		took := 12*time.Millisecond + prefillTime(1000)
		if !caches[d.Replica.Address].use(now, chain, capacity) {
			fetched := d.PrefixSource != nil && caches[d.PrefixSource.Address].has(chain)
			if fetched {
				took += 35 * time.Millisecond
			} else {
				took += prefillTime(6000)
			}
			if !fetched && cachedElsewhere(caches, d.Replica.Address, chain) {
				prefilledAgain++
			}
		}
		s.RecordFirstByte(now.Add(took), req, d, prefill, took)
		s.RecordEnd(now.Add(took), now, req, d, Answered, 0)
	}
	return prefilledAgain, requests
}

// Guards against replicas that prefill shared parts of thousands of tokens although
// another replica has them cached: at most 5 of 100 prompts may cause that.
func TestReplayOfSharedPrompts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		again, prompts := replaySharedPrompts(seed)
		t.Logf("seed %d: %d of %d prompts", seed, again, prompts)
		is.True(again*100 <= prompts*5)
	}
}
