package routing

const (
	hintEndpoints  = 4     // endpoints remembered per prefix
	hintGeneration = 32768 // prefixes per generation; two generations are kept, about 3 MB
)

type holders [hintEndpoints]uint64 // hashes of endpoints; 0 is free

// hints remembers which endpoints may have cached a prompt prefix. It forgets
// in two generations, which bounds its memory without an order of use.
type hints struct {
	current, previous map[uint64]holders
}

func (h *hints) get(prefix uint64) holders {
	if v, ok := h.current[prefix]; ok {
		return v
	}
	return h.previous[prefix]
}

func (h *hints) add(prefix, endpoint uint64) {
	v := h.get(prefix)
	if v.has(endpoint) {
		return
	}
	copy(v[1:], v[:hintEndpoints-1])
	v[0] = endpoint
	if h.current == nil || len(h.current) >= hintGeneration {
		h.previous, h.current = h.current, make(map[uint64]holders)
	}
	h.current[prefix] = v
}

func (h *hints) remove(prefix, endpoint uint64) {
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
		h.current = make(map[uint64]holders)
	}
	h.current[prefix] = v
}

func (v *holders) has(endpoint uint64) bool {
	for _, e := range v {
		if e == endpoint {
			return true
		}
	}
	return false
}
