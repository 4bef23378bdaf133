package capacity

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
)

func listedInstance(i fleet.Instance) backing.ListedInstance {
	return backing.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress}
}

// Sizes of the measured meshes that stay fixed while another size varies.
const (
	designReportsPerNode = designReplicas * reportReaders / designNodes // reports read by one instance at the design size
	smallMeshSize        = 8                                            // members of the meshes that vary reports or rows
)

// peerLines returns the lines of measurePeers without samples.
func peerLines() (members []Line, reports, rows Line, relays []Line) {
	members = []Line{
		{Name: "peers: sent in a data centre", SizeUnit: "members", CostUnit: "KB/s", DesignSize: nodesPerDataCentre, Budget: Network, BudgetFactor: 1, Explanation: "25 reports and 440 rows each"},
		{Name: "peers: processor time in a data centre", SizeUnit: "members", CostUnit: "ms/s", DesignSize: nodesPerDataCentre, Budget: Processor, BudgetFactor: 1, Explanation: "25 reports and 440 rows each, membership included"},
	}
	reports = Line{Name: "peers: sent, by reports", SizeUnit: "reports", CostUnit: "KB/s", DesignSize: designReportsPerNode, Budget: Network, BudgetFactor: float64(nodesPerDataCentre-1) / (smallMeshSize - 1), Explanation: "measured with 8 members and 440 rows; 34 receivers instead of 7"}
	rows = Line{Name: "peers: sent, by rows", SizeUnit: "rows", CostUnit: "KB/s", DesignSize: designModels, Budget: Network, BudgetFactor: float64(nodesPerDataCentre-1) / (smallMeshSize - 1), Explanation: "measured with 8 members and 25 reports; 34 receivers instead of 7"}
	relays = []Line{
		{Name: "peers: sent by a relay", SizeUnit: "data centres", CostUnit: "KB/s", DesignSize: designDataCentres, Budget: Network, BudgetFactor: 1, Explanation: "5 members, 25 reports and 440 rows each"},
		{Name: "peers: processor time with relays", SizeUnit: "data centres", CostUnit: "ms/s", DesignSize: designDataCentres, Explanation: "mean over 5 members, 2 of them relays"},
	}
	return members, reports, rows, relays
}

// measureSettledMesh measures a mesh in its steady state. The mesh has one data
// centre unless m sets more. New connections begin with complete reports and
// summaries, so the wait for the steady state grows with the number of data centres.
func measureSettledMesh(ctx context.Context, o Options, m meshOptions) (meshCost, error) {
	if m.dataCentres == 0 {
		m.dataCentres, m.meshLimit = 1, 1000
	}
	settleTime := 3*time.Second + time.Duration(m.dataCentres)*time.Second
	c, err := measureMesh(ctx, m, o.duration(settleTime), o.duration(5*time.Second))
	if c.heartbeatsReplaced > 0 {
		o.progress("  %+v: %d heartbeats replaced", m, c.heartbeatsReplaced)
	}
	return c, err
}

// measurePeers measures the costs of heartbeats over real connections.
func measurePeers(ctx context.Context, o Options) ([]Line, error) {
	members, reports, rows, relays := peerLines()
	vary := func(sizes []int, mesh func(n int) meshOptions, addSamples func(n int, c meshCost)) error {
		for _, n := range o.sizes(sizes...) {
			c, err := measureSettledMesh(ctx, o, mesh(n))
			if err != nil {
				return err
			}
			addSamples(n, c)
		}
		return nil
	}
	err := errors.Join(
		vary([]int{5, 10, 20, 35}, func(n int) meshOptions {
			return meshOptions{nodes: n, reports: designReportsPerNode, rows: designModels}
		}, func(n int, c meshCost) {
			addSample(&members[0], n, c.memberKB)
			addSample(&members[1], n, c.processorSeconds*1e3)
		}),
		vary([]int{3, 6, 12, 25}, func(n int) meshOptions {
			return meshOptions{nodes: smallMeshSize, reports: n, rows: designModels}
		}, func(n int, c meshCost) { addSample(&reports, n, c.memberKB) }),
		vary([]int{55, 110, 220, 440}, func(n int) meshOptions {
			return meshOptions{nodes: smallMeshSize, reports: designReportsPerNode, rows: n}
		}, func(n int, c meshCost) { addSample(&rows, n, c.memberKB) }),
		vary([]int{2, 4, 8, 12}, func(n int) meshOptions {
			return meshOptions{nodes: 5 * n, dataCentres: n, meshLimit: 1, reports: designReportsPerNode, rows: designModels}
		}, func(n int, c meshCost) {
			addSample(&relays[0], n, c.relayKB)
			addSample(&relays[1], n, c.processorSeconds*1e3)
		}),
	)
	return append(append(members, reports, rows), relays...), err
}

func addSample(l *Line, size int, cost float64) {
	l.Samples = append(l.Samples, Sample{float64(size), cost})
}
