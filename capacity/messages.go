package capacity

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
)

func listed(i fleet.Instance) backing.ListedInstance {
	return backing.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress}
}

// Sizes of one data centre at full size.
const (
	fullReports = fullReplicas * reportReaders / fullNodes // read by one instance
	mesh8       = 8                                        // members of the meshes whose other sizes vary
)

// peerLines are the lines of measurePeers without samples.
func peerLines() (members []Line, reports, rows Line, relays []Line) {
	members = []Line{
		{Name: "peers: sent in a data centre", Varied: "members", Unit: "KB/s", Full: perDataCentre, Budget: Network, Rate: 1, Why: "25 reports and 440 rows each"},
		{Name: "peers: processor time in a data centre", Varied: "members", Unit: "ms/s", Full: perDataCentre, Budget: Processor, Rate: 1, Why: "25 reports and 440 rows each, membership included"},
	}
	reports = Line{Name: "peers: sent, by reports", Varied: "reports", Unit: "KB/s", Full: fullReports, Budget: Network, Rate: float64(perDataCentre-1) / (mesh8 - 1), Why: "measured with 8 members and 440 rows; 34 receivers instead of 7"}
	rows = Line{Name: "peers: sent, by rows", Varied: "rows", Unit: "KB/s", Full: fullModels, Budget: Network, Rate: float64(perDataCentre-1) / (mesh8 - 1), Why: "measured with 8 members and 25 reports; 34 receivers instead of 7"}
	relays = []Line{
		{Name: "peers: sent by a relay", Varied: "data centres", Unit: "KB/s", Full: fullDataCentres, Budget: Network, Rate: 1, Why: "5 members, 25 reports and 440 rows each"},
		{Name: "peers: processor time with relays", Varied: "data centres", Unit: "ms/s", Full: fullDataCentres, Why: "mean over 5 members, 2 of them relays"},
	}
	return members, reports, rows, relays
}

// runMesh measures a mesh, of one data centre unless m has more. Connections
// start with whole reports and summaries, so more data centres settle later.
func runMesh(ctx context.Context, o Options, m meshOptions) (meshCost, error) {
	if m.dataCentres == 0 {
		m.dataCentres, m.meshLimit = 1, 1000
	}
	settle := 3*time.Second + time.Duration(m.dataCentres)*time.Second
	c, err := measureMesh(ctx, m, o.duration(settle), o.duration(5*time.Second))
	if c.replaced > 0 {
		o.progress("  %+v: %d heartbeats replaced", m, c.replaced)
	}
	return c, err
}

// measurePeers measures heartbeats on real connections.
func measurePeers(ctx context.Context, o Options) ([]Line, error) {
	members, reports, rows, relays := peerLines()
	vary := func(sizes []int, mesh func(n int) meshOptions, take func(n int, c meshCost)) error {
		for _, n := range o.sizes(sizes...) {
			c, err := runMesh(ctx, o, mesh(n))
			if err != nil {
				return err
			}
			take(n, c)
		}
		return nil
	}
	err := errors.Join(
		vary([]int{5, 10, 20, 35}, func(n int) meshOptions {
			return meshOptions{nodes: n, reports: fullReports, rows: fullModels}
		}, func(n int, c meshCost) {
			add(&members[0], n, c.plain)
			add(&members[1], n, c.processorSeconds*1e3)
		}),
		vary([]int{3, 6, 12, 25}, func(n int) meshOptions {
			return meshOptions{nodes: mesh8, reports: n, rows: fullModels}
		}, func(n int, c meshCost) { add(&reports, n, c.plain) }),
		vary([]int{55, 110, 220, 440}, func(n int) meshOptions {
			return meshOptions{nodes: mesh8, reports: fullReports, rows: n}
		}, func(n int, c meshCost) { add(&rows, n, c.plain) }),
		vary([]int{2, 4, 8, 12}, func(n int) meshOptions {
			return meshOptions{nodes: 5 * n, dataCentres: n, meshLimit: 1, reports: fullReports, rows: fullModels}
		}, func(n int, c meshCost) {
			add(&relays[0], n, c.relay)
			add(&relays[1], n, c.processorSeconds*1e3)
		}),
	)
	return append(append(members, reports, rows), relays...), err
}

func add(l *Line, size int, cost float64) {
	l.Samples = append(l.Samples, Sample{float64(size), cost})
}
