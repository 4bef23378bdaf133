package records

import (
	"encoding/json"
	"fmt"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Key prefixes of the records.
const (
	ledgerPrefix     = "ledger/"
	planPrefix       = "plan/"
	quarantinePrefix = "quarantine/"
)

func ledgerKey(id fleet.EndpointID) string { return ledgerPrefix + string(id) }
func planKey(pool string) string           { return planPrefix + pool }
func quarantineKey(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%016x", quarantinePrefix, uint64(f))
}

func encodeLedger(r ledger.Record) ([]byte, error) { return json.Marshal(r) }
func decodeLedger(v []byte) (ledger.Record, error) {
	var r ledger.Record
	err := json.Unmarshal(v, &r)
	return r, err
}

func encodePlan(p placement.Stored) ([]byte, error) { return json.Marshal(p) }
func decodePlan(v []byte) (placement.Stored, error) {
	var p placement.Stored
	err := json.Unmarshal(v, &p)
	return p, err
}

func encodeQuarantine(r quarantine.Record) ([]byte, error) { return json.Marshal(r) }
func decodeQuarantine(v []byte) (quarantine.Record, error) {
	var r quarantine.Record
	err := json.Unmarshal(v, &r)
	return r, err
}
