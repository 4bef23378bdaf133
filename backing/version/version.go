// Package version splits the version of a record of the table service into the era
// of the service and a counter.
//
// The table service may be restored from a copy. Its counters then go back and are
// used again, and its era rises by one. Since the era is in the upper bits, versions
// of two eras are never equal, and a later era has the higher versions.
package version

// counterBits allows 2^48 writes of a record. The upper 16 bits hold the era.
const counterBits = 48

// New returns the version with the given era and counter.
func New(era, counter uint64) uint64 { return era<<counterBits | Counter(counter) }

// Era returns the era of the answer that v was read from.
func Era(v uint64) uint64 { return v >> counterBits }

// Counter returns the counter that the table service has for v.
func Counter(v uint64) uint64 { return v & (1<<counterBits - 1) }
