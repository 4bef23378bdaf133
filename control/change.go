package control

import "github.com/hyssophaven/hyssophaven/membership"

// The kinds of Change. Further kinds, one for each status, report a change of
// an instance's status.
const (
	ChangeStopRequested   = "stop requested"
	ChangeTableAdopted    = "table adopted"
	ChangeIsolation       = "isolation changed"
	ChangeReplaced        = "replaced by a newer incarnation"
	ChangeLeaseGained     = "lease gained"
	ChangeLeaseLost       = "lease lost"
	ChangeMovePlanned     = "move planned" // has the fields endpoint, action, name and cause
	ChangeEndpointLost    = "endpoint lost"
	ChangeEndpointLeaving = "endpoint leaving mark changed"
	ChangeTrialStarted    = "trial started"
	// ChangeStoreRestored has the eras, and what the restored table service lacks
	// of the table that is in force here.
	ChangeStoreRestored     = "table service restored"
	ChangeTableWrittenAgain = "table written again"
	ChangeTableEditsLost    = "table edits lost"
	ChangeLedgerLost        = "ledger lost in restore"
)

// instanceChangeKind returns the kind of a change to the given status.
func instanceChangeKind(s membership.Status) string { return "instance " + s.String() }

// ChangeKinds returns all kinds of Change, so that counters can be exported
// before the first change.
func ChangeKinds() []string {
	return []string{
		ChangeStopRequested, ChangeTableAdopted, ChangeIsolation, ChangeReplaced, ChangeLeaseGained, ChangeLeaseLost,
		ChangeMovePlanned, ChangeEndpointLost, ChangeEndpointLeaving, ChangeTrialStarted,
		ChangeStoreRestored, ChangeTableWrittenAgain, ChangeTableEditsLost, ChangeLedgerLost,
		instanceChangeKind(membership.Listed), instanceChangeKind(membership.Alive), instanceChangeKind(membership.Suspect), instanceChangeKind(membership.Dead),
	}
}
