package standinplatform

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// instanceList holds the visible entries of the instance list and the changes
// that are not visible yet, in the order in which they were made.
type instanceList struct {
	instances      map[fleet.InstanceID]backing.ListedInstance
	endpoints      map[fleet.EndpointID]fleet.Endpoint
	pendingChanges []listChange
}

type listChange struct {
	visibleAt time.Time
	apply     func(*instanceList)
}

// applyVisible applies the pending changes that are visible at time now.
func (l *instanceList) applyVisible(now time.Time) {
	if l.instances == nil {
		l.instances = make(map[fleet.InstanceID]backing.ListedInstance)
		l.endpoints = make(map[fleet.EndpointID]fleet.Endpoint)
	}
	for len(l.pendingChanges) > 0 && !l.pendingChanges[0].visibleAt.After(now) {
		l.pendingChanges[0].apply(l)
		l.pendingChanges = l.pendingChanges[1:]
	}
}

// listing returns the visible entries, ordered by id.
func (l *instanceList) listing() backing.Listing {
	return backing.Listing{
		Instances: slices.SortedFunc(maps.Values(l.instances), func(a, b backing.ListedInstance) int { return cmp.Compare(a.ID, b.ID) }),
		Endpoints: slices.SortedFunc(maps.Values(l.endpoints), func(a, b fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) }),
	}
}

// changeList applies a change to the list after Config.ListLag.
func (p *Platform) changeList(apply func(*instanceList)) {
	p.owner.Do(func() {
		p.list.pendingChanges = append(p.list.pendingChanges, listChange{time.Now().Add(p.config.ListLag), apply})
	})
}

// PutInstance adds or replaces an instance in the list after Config.ListLag.
func (p *Platform) PutInstance(i backing.ListedInstance) {
	p.changeList(func(l *instanceList) { l.instances[i.ID] = i })
}

// RemoveInstance removes an instance from the list after Config.ListLag.
func (p *Platform) RemoveInstance(id fleet.InstanceID) {
	p.changeList(func(l *instanceList) { delete(l.instances, id) })
}

// PutEndpoint adds or replaces an endpoint in the list after Config.ListLag.
func (p *Platform) PutEndpoint(e fleet.Endpoint) {
	p.changeList(func(l *instanceList) { l.endpoints[e.ID] = e })
}

// RemoveEndpoint removes an endpoint from the list after Config.ListLag.
func (p *Platform) RemoveEndpoint(id fleet.EndpointID) {
	p.changeList(func(l *instanceList) { delete(l.endpoints, id) })
}

type listReader struct{ p *Platform }

// List implements backing.InstanceList.
func (r listReader) List(ctx context.Context) (backing.Listing, error) {
	var out backing.Listing
	err := r.p.call(ctx, Instances, false, func() error {
		r.p.list.applyVisible(time.Now())
		out = r.p.list.listing()
		return nil
	})
	return out, err
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(fleet.InstanceID(chi.URLParam(r, "id")))
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) deleteEndpoint(w http.ResponseWriter, r *http.Request) {
	p.RemoveEndpoint(fleet.EndpointID(chi.URLParam(r, "id")))
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}
