package capacity

import (
	"context"

	"github.com/hyssophaven/hyssophaven/ledger/ledgerrecord"
)

// measureRecords measures the reads of all replicas' ledgers that service records
// of every instance does once a second, without the transport. It also measures
// the bodies of the other periodic reads.
func measureRecords(_ context.Context, o Options) ([]Line, error) {
	size := Line{Name: "records: one read of all ledgers", Varied: "replicas", Unit: "KB", Full: designReplicas, Budget: Network, Rate: 1, Why: "1/s, received"}
	decode := Line{Name: "records: decoding of all ledgers", Varied: "replicas", Unit: "ms", Full: designReplicas, Budget: Processor, Rate: 1, Why: "1/s"}
	reads := Line{Name: "records: ledger records read", Varied: "replicas", Unit: "records", Full: designReplicas, Budget: StoreReads, Rate: designNodes, Why: "1/s by each of 420 nodes"}
	for _, n := range o.sizes(675, 1350, 2700, 5400) {
		s := newSyntheticFleet(designNodes, n, designModels)
		var values [][]byte
		bytes := 0
		for _, r := range s.ledgerRecords() {
			value, err := ledgerrecord.Encode(r)
			if err != nil {
				return nil, err
			}
			values = append(values, value)
			bytes += len(value)
		}
		var failed error
		cost := o.callMicros(func(int) {
			for _, v := range values {
				if _, err := ledgerrecord.Decode(v); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return nil, failed
		}
		addSample(&size, n, float64(bytes)/1e3)
		addSample(&decode, n, cost/1e3)
		addSample(&reads, n, float64(n))
	}
	bodies, err := measureReadBodies(o)
	return append([]Line{size, decode, reads}, bodies...), err
}
