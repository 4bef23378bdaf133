package capacity

import (
	"encoding/json"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

// measureBodies measures the bodies of the other periodic reads: the
// platform's list, once a second, and the table, after each edit.
func measureBodies(o Options) ([]Line, error) {
	list := Line{Name: "listing: one read of the list", Varied: "replicas", Unit: "KB", Full: fullReplicas, Budget: Network, Rate: 1, Why: "1/s, received"}
	body := Line{
		Name: "table: one read of all rows", Varied: "rows", Unit: "KB", Full: fullModels + fullAdapters,
		Budget: Network, Rate: fullEdits / 86400.0, Why: "once per edit, 8,200 a day, received",
	}
	rows := Line{
		Name: "table: row records read", Varied: "rows", Unit: "records", Full: fullModels + fullAdapters,
		Budget: StoreReads, Rate: fullNodes * fullEdits / 86400.0, Why: "by 420 nodes after each edit, if no peer is asked",
	}
	for _, n := range o.sizes(675, 1350, 2700, 5400) {
		s := newSynthetic(max(1, n*fullNodes/fullReplicas), n, fullModels)
		bytes := 0
		for _, e := range s.listing().Endpoints {
			data, err := json.Marshal(backinghttp.NewEndpointMessage(e))
			if err != nil {
				return nil, err
			}
			bytes += len(data) + 1
		}
		add(&list, n, float64(bytes)/1e3)
	}
	for _, n := range o.sizes(220, 440, 880, 1760) {
		bytes := 0
		for _, r := range newSynthetic(1, 1, n/(1+adaptersOnModel)).rows() {
			data, err := tablecodec.EncodeRow(r)
			if err != nil {
				return nil, err
			}
			bytes += len(data)
		}
		add(&body, n, float64(bytes)/1e3)
		add(&rows, n, float64(n))
	}
	return []Line{list, body, rows}, nil
}
