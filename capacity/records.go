package capacity

import (
	"context"

	"github.com/hyssophaven/hyssophaven/ledger/ledgerrecord"
)

// measureRecords measures the read of all replicas' ledgers, which the records
// service of every instance repeats once a second. It leaves out the transport.
// It also measures the bodies of the other periodic reads.
func measureRecords(_ context.Context, o Options) ([]Line, error) {
	size := Line{Name: "records: one read of all ledgers", SizeUnit: "replicas", CostUnit: "KB", DesignSize: designReplicas, Budget: Network, BudgetFactor: 1, Explanation: "1/s, received"}
	decode := Line{Name: "records: decoding of all ledgers", SizeUnit: "replicas", CostUnit: "ms", DesignSize: designReplicas, Budget: Processor, BudgetFactor: 1, Explanation: "1/s"}
	reads := Line{Name: "records: ledger records read", SizeUnit: "replicas", CostUnit: "records", DesignSize: designReplicas, Budget: StoreReads, BudgetFactor: designNodes, Explanation: "1/s by each of 420 nodes"}
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
