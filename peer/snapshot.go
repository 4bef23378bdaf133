package peer

import (
	"context"
	"fmt"
)

// A table snapshot is fetched in parts, because it can exceed the frame size.
const (
	snapshotPartBytes = 512 << 10 // 683 KB in base64
	maxSnapshotBytes  = 64 << 20
	// maxSnapshotRestarts limits the restarts of a transfer during which the
	// table changes.
	maxSnapshotRestarts = 5
)

type snapshotParams struct {
	Offset int `json:"o"`
}

type snapshotResult struct {
	Revision uint64 `json:"r"`
	Size     int    `json:"n"`
	Data     []byte `json:"d"`
}

// snapshotPart returns the part of the newest snapshot that begins at the offset.
func (s *server) snapshotPart(ctx context.Context, p snapshotParams) (snapshotResult, error) {
	snap, err := s.handler.EncodedTable(ctx)
	if err != nil {
		return snapshotResult{}, err
	}
	from := min(max(p.Offset, 0), len(snap.Data))
	to := min(from+snapshotPartBytes, len(snap.Data))
	return snapshotResult{Revision: snap.Revision, Size: len(snap.Data), Data: snap.Data[from:to]}, nil
}

// TableSnapshot implements Network. It starts again if the table's revision
// changes during the transfer.
func (s *Service) TableSnapshot(ctx context.Context, address string) (Snapshot, error) {
	var snap Snapshot
	for restarts := 0; restarts <= maxSnapshotRestarts; {
		var part snapshotResult
		if err := s.call(ctx, address, methodSnapshot, snapshotParams{Offset: len(snap.Data)}, &part); err != nil {
			return Snapshot{}, err
		}
		if len(snap.Data) > 0 && part.Revision != snap.Revision {
			snap = Snapshot{}
			restarts++
			continue
		}
		snap.Revision = part.Revision
		snap.Data = append(snap.Data, part.Data...)
		if len(snap.Data) == part.Size {
			return snap, nil
		}
		if part.Size > maxSnapshotBytes || len(snap.Data) > part.Size || len(part.Data) == 0 {
			return Snapshot{}, fmt.Errorf("%s at %s: %d of %d bytes", methodSnapshot, address, len(snap.Data), part.Size)
		}
	}
	return Snapshot{}, fmt.Errorf("%s at %s: table changed %d times during the transfer", methodSnapshot, address, maxSnapshotRestarts)
}
