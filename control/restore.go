package control

import (
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/table"
)

func numberField(name string, n uint64) Field { return Field{name, strconv.FormatUint(n, 10)} }

// noteStoreEra follows the era of the table service, which rises when it is restored
// from a copy. Keyed calls are refused until the table is written again, by when
// every instance has had time to write its claims again. The first era that this
// process sees is no change.
func (c *core) noteStoreEra(now time.Time, ev TableHeadRead) {
	if c.storeEraKnown && ev.Era > c.storeEra {
		c.emitChange(ChangeStoreRestored,
			numberField("old_era", c.storeEra), numberField("new_era", ev.Era),
			numberField("store_revision", ev.Revision), numberField("table_revision", c.tableRevision()),
			numberField("leases_held", uint64(len(c.leases.Held(now)))))
		c.emit(WriteClaimsAgain{Era: ev.Era})
	}
	if ev.Era < c.storeEra {
		return // an answer from before the restore
	}
	unsettled := table.RevisionEra(ev.Revision) != ev.Era
	changed := ev.Era != c.storeEra || unsettled != c.storeUnsettled
	c.storeEra, c.storeEraKnown, c.storeUnsettled = ev.Era, true, unsettled
	if changed {
		c.publish(now)
	}
}

// reportTableRestore reports what a restore of the table service did to the table.
func (c *core) reportTableRestore(ev Event) {
	switch ev := ev.(type) {
	case TableWrittenAgain:
		c.emitChange(ChangeTableWrittenAgain, numberField("from_revision", ev.From),
			numberField("revision", ev.Revision), numberField("rows", uint64(ev.Rows)))
	case TableEditsLost:
		c.emitChange(ChangeTableEditsLost, numberField("after_revision", ev.After), numberField("last_revision", ev.Last))
	}
}
