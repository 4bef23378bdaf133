package capacity

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/platform"
)

func listed(i fleet.Instance) platform.ListedInstance {
	return platform.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress}
}

// Sizes of one data centre at full size.
const (
	fullReports = fullReplicas * reportReaders / fullNodes // read by one instance
	mesh8       = 8                                        // members of the meshes whose other sizes vary
)

// measurePeers measures heartbeats on real connections.
func measurePeers(ctx context.Context, o Options) ([]Line, error) {
	members := []Line{
		{Name: "peers: sent in a data centre", Varied: "members", Unit: "KB/s", Full: perDataCentre, Budget: Network, Rate: 1, Why: "25 reports and 440 rows each"},
		{Name: "peers: processor time in a data centre", Varied: "members", Unit: "ms/s", Full: perDataCentre, Budget: Processor, Rate: 1, Why: "25 reports and 440 rows each, membership included"},
	}
	reports := Line{Name: "peers: sent, by reports", Varied: "reports", Unit: "KB/s", Full: fullReports, Budget: Network, Rate: float64(perDataCentre-1) / (mesh8 - 1), Why: "measured with 8 members and 440 rows; 34 receivers instead of 7"}
	rows := Line{Name: "peers: sent, by rows", Varied: "rows", Unit: "KB/s", Full: fullModels, Budget: Network, Rate: float64(perDataCentre-1) / (mesh8 - 1), Why: "measured with 8 members and 25 reports; 34 receivers instead of 7"}
	relays := []Line{
		{Name: "peers: sent by a relay", Varied: "data centres", Unit: "KB/s", Full: fullDataCentres, Budget: Network, Rate: 1, Why: "5 members, 25 reports and 440 rows each"},
		{Name: "peers: processor time with relays", Varied: "data centres", Unit: "ms/s", Full: fullDataCentres, Why: "mean over 5 members, 2 of them relays"},
	}
	run := func(m meshOptions) (meshCost, error) {
		if m.dataCentres == 0 {
			m.dataCentres, m.meshLimit = 1, 1000
		}
		c, err := measureMesh(ctx, m, o.duration(4*time.Second), o.duration(5*time.Second))
		if c.replaced > 0 {
			o.progress("  %+v: %d heartbeats replaced", m, c.replaced)
		}
		return c, err
	}
	for _, n := range o.sizes(5, 10, 20, 35) {
		c, err := run(meshOptions{nodes: n, reports: fullReports, rows: fullModels})
		if err != nil {
			return nil, err
		}
		add(&members[0], n, c.plain)
		add(&members[1], n, c.processorSeconds*1e3)
	}
	for _, n := range o.sizes(3, 6, 12, 25) {
		c, err := run(meshOptions{nodes: mesh8, reports: n, rows: fullModels})
		if err != nil {
			return nil, err
		}
		add(&reports, n, c.plain)
	}
	for _, n := range o.sizes(55, 110, 220, 440) {
		c, err := run(meshOptions{nodes: mesh8, reports: fullReports, rows: n})
		if err != nil {
			return nil, err
		}
		add(&rows, n, c.plain)
	}
	for _, n := range o.sizes(2, 4, 8, 12) {
		c, err := run(meshOptions{nodes: 5 * n, dataCentres: n, meshLimit: 1, reports: fullReports, rows: fullModels})
		if err != nil {
			return nil, err
		}
		add(&relays[0], n, c.relay)
		add(&relays[1], n, c.processorSeconds*1e3)
	}
	return append(append(members, reports, rows), relays...), nil
}

func add(l *Line, size int, cost float64) {
	l.Samples = append(l.Samples, Sample{float64(size), cost})
}
