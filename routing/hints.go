package routing

const (
	maxEndpointsPerPrefix    = 4
	maxPrefixesPerGeneration = 32768 // two generations are kept, about 3 MB
)

// endpointHashes holds the ID hashes of endpoints, the latest first; 0 is a free
// entry.
type endpointHashes [maxEndpointsPerPrefix]uint64

// cacheHints records which endpoints have probably cached a prompt prefix. Its
// memory is bounded without tracking the order of use: when the current generation
// is full, the previous one is discarded.
type cacheHints struct {
	current, previous map[uint64]endpointHashes
}

func (h *cacheHints) get(prefix uint64) endpointHashes {
	if v, ok := h.current[prefix]; ok {
		return v
	}
	return h.previous[prefix]
}

func (h *cacheHints) add(prefix, endpoint uint64) {
	v := h.get(prefix)
	if v.has(endpoint) {
		return
	}
	copy(v[1:], v[:maxEndpointsPerPrefix-1])
	v[0] = endpoint
	if h.current == nil || len(h.current) >= maxPrefixesPerGeneration {
		h.previous, h.current = h.current, make(map[uint64]endpointHashes)
	}
	h.current[prefix] = v
}

func (h *cacheHints) remove(prefix, endpoint uint64) {
	v := h.get(prefix)
	if !v.has(endpoint) {
		return
	}
	for i := range v {
		if v[i] == endpoint {
			v[i] = 0
		}
	}
	if h.current == nil {
		h.current = make(map[uint64]endpointHashes)
	}
	h.current[prefix] = v
}

func (v *endpointHashes) has(endpoint uint64) bool {
	for _, e := range v {
		if e == endpoint {
			return true
		}
	}
	return false
}
