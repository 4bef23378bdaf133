package capacity

import (
	"context"

	"github.com/hyssophaven/hyssophaven/ledger/ledgerrecord"
)

// measureRecords measures what every instance does once a second in service
// records: it reads the ledgers of all replicas. The transport is not included.
func measureRecords(_ context.Context, o Options) ([]Line, error) {
	size := Line{Name: "records: one read of all ledgers", Varied: "replicas", Unit: "KB", Full: fullReplicas, Budget: Network, Rate: 1, Why: "1/s, received"}
	decode := Line{Name: "records: decoding of all ledgers", Varied: "replicas", Unit: "ms", Full: fullReplicas, Budget: Processor, Rate: 1, Why: "1/s"}
	reads := Line{Name: "records: ledger records read", Varied: "replicas", Unit: "records", Full: fullReplicas, Budget: StoreReads, Rate: fullNodes, Why: "1/s by each of 420 nodes"}
	for _, n := range o.sizes(675, 1350, 2700, 5400) {
		s := newSynthetic(fullNodes, n, fullModels)
		var values [][]byte
		bytes := 0
		for _, r := range s.records() {
			value, err := ledgerrecord.Encode(r)
			if err != nil {
				return nil, err
			}
			values = append(values, value)
			bytes += len(value)
		}
		var failed error
		cost := o.microseconds(func(int) {
			for _, v := range values {
				if _, err := ledgerrecord.Decode(v); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return nil, failed
		}
		add(&size, n, float64(bytes)/1e3)
		add(&decode, n, cost/1e3)
		add(&reads, n, float64(n))
	}
	bodies, err := measureBodies(o)
	return append([]Line{size, decode, reads}, bodies...), err
}
