package actuator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/suspect"
)

// blocksKey is the key of the row, in leaseTable, that holds the blocked prompt parts.
// The holder of the order lease writes it, and every instance reads it when it starts.
const blocksKey = "blocked-parts"

// maxBlocksReads is the number of attempts to read the row, and blocksReadInterval the
// time between two of them. A store that is away longer is no reason to delay the start.
const (
	maxBlocksReads     = 10
	blocksReadInterval = 500 * time.Millisecond
)

// blockRecord is the JSON form of a block. Its times are in milliseconds, as of the write.
type blockRecord struct {
	Parts        []suspect.Part `json:"parts"`
	Wait         int64          `json:"wait_ms"`
	LastCrashAge int64          `json:"last_crash_age_ms"`
	Failures     int            `json:"failures"`
}

func (s *Service) saveBlocks(ctx context.Context, e controlplane.SaveBlocks) {
	records := make([]blockRecord, len(e.Blocks))
	for i, b := range e.Blocks {
		records[i] = blockRecord{Parts: b.Parts, Wait: b.Wait.Milliseconds(), LastCrashAge: b.LastCrashAge.Milliseconds(), Failures: b.Failures}
	}
	var version rowstore.Version
	value, err := json.Marshal(records)
	if err == nil {
		version, err = s.store.Write(ctx, nil, []rowstore.Row{{Table: leaseTable, Key: blocksKey, Value: value}})
	}
	s.control.Post(controlplane.BlocksSaved{Version: version, Err: err})
}

// restoreBlocks reads the blocked prompt parts that an earlier holder has stored.
func (s *Service) restoreBlocks(ctx context.Context) {
	for range maxBlocksReads {
		page, err := s.store.Read(ctx, leaseTable)
		if err == nil {
			s.postBlocks(page)
			return
		}
		select {
		case <-time.After(blocksReadInterval):
		case <-ctx.Done():
			return
		}
	}
	s.log.Warn("blocked prompt parts could not be read", "attempts", maxBlocksReads)
}

func (s *Service) postBlocks(page rowstore.Page) {
	for _, row := range page.Rows {
		if row.Key != blocksKey {
			continue
		}
		var records []blockRecord
		if err := json.Unmarshal(row.Value, &records); err != nil {
			s.log.Error("cannot decode blocked prompt parts", "version", row.Version, "error", err)
			return
		}
		blocks := make([]suspect.Block, len(records))
		for i, r := range records {
			blocks[i] = suspect.Block{
				Parts: r.Parts, Wait: time.Duration(r.Wait) * time.Millisecond,
				LastCrashAge: time.Duration(r.LastCrashAge) * time.Millisecond, Failures: r.Failures,
			}
		}
		s.control.Post(controlplane.BlocksRead{Blocks: blocks})
	}
}
