package rowstore

import "strconv"

// Version is a position in the store's history: the era in the upper bits and the
// transaction counter in the lower ones. The counter grows with each transaction. The
// era grows when the store is restored from a copy: the counter then goes back, and its
// values are given out again. Versions of different eras therefore compare correctly as
// integers, but counters of different eras do not.
type Version uint64

// counterBits is the size of the counter. At 10,000 transactions per second it lasts for
// 892 years, and the era for 65,535 restores.
const counterBits = 48

// NewVersion returns the version with the given era and counter.
func NewVersion(era, counter uint64) Version {
	return Version(era<<counterBits | counter&(1<<counterBits-1))
}

// Era returns the number of times that the store has been restored, plus its first era.
// It is 0 for a store that does not report eras.
func (v Version) Era() uint64 { return uint64(v) >> counterBits }

// Counter returns the value of the transaction counter. It is 0 for the version of a row
// that does not exist.
func (v Version) Counter() uint64 { return uint64(v) & (1<<counterBits - 1) }

// String returns the counter, preceded by the era if the store reports one.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Counter(), 10)
	}
	return strconv.FormatUint(v.Era(), 10) + "/" + strconv.FormatUint(v.Counter(), 10)
}
