package controlrecords

import "github.com/hyssophaven/hyssophaven/fleet"

// Key prefixes of the records whose codecs define no keys.
const (
	ledgerPrefix = "ledger/"
	planPrefix   = "plan/"
)

func ledgerKey(id fleet.EndpointID) string { return ledgerPrefix + string(id) }

func planKey(pool string) string { return planPrefix + pool }
