package capacity

import (
	"encoding/json"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

// measureReadBodies measures the response bodies of the list, which is read once a
// second, and of the table, which is read after each edit.
func measureReadBodies(o Options) ([]Line, error) {
	list := Line{Name: "listing: one read of the list", SizeUnit: "replicas", CostUnit: "KB", DesignSize: designReplicas, Budget: Network, BudgetFactor: 1, Explanation: "1/s, received"}
	body := Line{
		Name: "table: one read of all rows", SizeUnit: "rows", CostUnit: "KB", DesignSize: designModels + designAdapters,
		Budget: Network, BudgetFactor: designEditsPerDay / 86400.0, Explanation: "once per edit, 8,200 a day, received",
	}
	rows := Line{
		Name: "table: row records read", SizeUnit: "rows", CostUnit: "records", DesignSize: designModels + designAdapters,
		Budget: StoreReads, BudgetFactor: designNodes * designEditsPerDay / 86400.0, Explanation: "by 420 nodes after each edit, if no peer is asked",
	}
	for _, n := range o.sizes(675, 1350, 2700, 5400) {
		s := newSyntheticFleet(max(1, n*designNodes/designReplicas), n, designModels)
		bytes := 0
		for _, e := range s.listing().Endpoints {
			data, err := json.Marshal(backinghttp.NewEndpointMessage(e))
			if err != nil {
				return nil, err
			}
			bytes += len(data) + 1
		}
		addSample(&list, n, float64(bytes)/1e3)
	}
	for _, n := range o.sizes(220, 440, 880, 1760) {
		bytes := 0
		for _, r := range newSyntheticFleet(1, 1, n/(1+adaptersOnModel)).rows() {
			data, err := tablecodec.EncodeRow(r)
			if err != nil {
				return nil, err
			}
			bytes += len(data)
		}
		addSample(&body, n, float64(bytes)/1e3)
		addSample(&rows, n, float64(n))
	}
	return []Line{list, body, rows}, nil
}
