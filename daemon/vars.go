package daemon

import (
	"expvar"
	"sync"
)

// instanceVars publishes the counters of every instance of the process. expvar
// keeps a published name for the life of the process, so a later instance of
// the same name replaces the earlier one inside this map.
var instanceVars = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("hyssophaven") })

func publishVars(instance string, vars *expvar.Map) { instanceVars().Set(instance, vars) }
