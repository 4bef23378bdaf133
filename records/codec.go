package records

import (
	"encoding/json"
	"fmt"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Key prefixes of the records.
const (
	ledgerPrefix     = "ledger/"
	planPrefix       = "plan/"
	quarantinePrefix = "quarantine/"
)

func ledgerKey(id fleet.EndpointID) string { return ledgerPrefix + string(id) }

func planKey(pool string) string { return planPrefix + pool }

func quarantineKey(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%016x", quarantinePrefix, uint64(f))
}

func encodeQuarantine(r quarantine.Record) ([]byte, error) { return json.Marshal(r) }

func decodeQuarantine(v []byte) (quarantine.Record, error) {
	var r quarantine.Record
	if err := json.Unmarshal(v, &r); err != nil {
		return r, fmt.Errorf("decode quarantine record: %w", err)
	}
	return r, nil
}
