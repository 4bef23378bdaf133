package control

import (
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// publish puts an action on the bus under its own type. The bus fails only
// after it was closed, when nobody is left to act.
func publish(b *kernel.Bus, a Action) {
	switch a := a.(type) {
	case FetchTable:
		_ = kernel.Publish(b, a)
	case AdoptLedger:
		_ = kernel.Publish(b, a)
	case PersistLedger:
		_ = kernel.Publish(b, a)
	case ReadLedger:
		_ = kernel.Publish(b, a)
	case SendOrder:
		_ = kernel.Publish(b, a)
	case QueryEngine:
		_ = kernel.Publish(b, a)
	case AdoptPlan:
		_ = kernel.Publish(b, a)
	case PersistPlan:
		_ = kernel.Publish(b, a)
	case Probe:
		_ = kernel.Publish(b, a)
	case Change:
		_ = kernel.Publish(b, a)
	case lease.Read:
		_ = kernel.Publish(b, a)
	case lease.Commit:
		_ = kernel.Publish(b, a)
	case membership.SendHeartbeat:
		_ = kernel.Publish(b, a)
	case quarantine.ReadRecord:
		_ = kernel.Publish(b, a)
	case quarantine.CommitRecord:
		_ = kernel.Publish(b, a)
	case quarantine.TellPeers:
		_ = kernel.Publish(b, a)
	}
}
