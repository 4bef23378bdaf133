package control

import "github.com/hyssophaven/hyssophaven/membership"

// The kinds of Change. Changes of an instance's status have a kind for each
// status.
const (
	ChangeStopRequested   = "stop requested"
	ChangeTableAdopted    = "table adopted"
	ChangeIsolation       = "isolation changed"
	ChangeReplaced        = "replaced by a newer incarnation"
	ChangeLeaseGained     = "lease gained"
	ChangeLeaseLost       = "lease lost"
	ChangeMovePlanned     = "move planned" // fields endpoint, action, name and cause
	ChangeEndpointLost    = "endpoint lost"
	ChangeEndpointLeaving = "endpoint leaving mark changed"
	ChangeTrialStarted    = "trial started"
)

func changeInstance(s membership.Status) string { return "instance " + s.String() }

// ChangeNames returns the kinds of Change, for counters that are exported
// before the first change.
func ChangeNames() []string {
	return []string{
		ChangeStopRequested, ChangeTableAdopted, ChangeIsolation, ChangeReplaced, ChangeLeaseGained, ChangeLeaseLost,
		ChangeMovePlanned, ChangeEndpointLost, ChangeEndpointLeaving, ChangeTrialStarted,
		changeInstance(membership.Listed), changeInstance(membership.Alive), changeInstance(membership.Suspect), changeInstance(membership.Dead),
	}
}
