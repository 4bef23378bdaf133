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

// instanceList is what the list shows now and the changes that it does not
// show yet, in the order in which they were made.
type instanceList struct {
	instances map[fleet.InstanceID]backing.ListedInstance
	endpoints map[fleet.EndpointID]fleet.Endpoint
	pending   []listChange
}

type listChange struct {
	visible time.Time
	apply   func(*instanceList)
}

// advance applies the changes that are visible at the given time.
func (l *instanceList) advance(now time.Time) {
	if l.instances == nil {
		l.instances = make(map[fleet.InstanceID]backing.ListedInstance)
		l.endpoints = make(map[fleet.EndpointID]fleet.Endpoint)
	}
	for len(l.pending) > 0 && !l.pending[0].visible.After(now) {
		l.pending[0].apply(l)
		l.pending = l.pending[1:]
	}
}

// listing returns what the list shows, ordered by id.
func (l *instanceList) listing() backing.Listing {
	return backing.Listing{
		Instances: slices.SortedFunc(maps.Values(l.instances), func(a, b backing.ListedInstance) int { return cmp.Compare(a.ID, b.ID) }),
		Endpoints: slices.SortedFunc(maps.Values(l.endpoints), func(a, b fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) }),
	}
}

func (p *Platform) changeList(apply func(*instanceList)) {
	p.owner.Do(func() {
		p.list.pending = append(p.list.pending, listChange{time.Now().Add(p.config.ListLag), apply})
	})
}

// PutInstance lists an instance, or changes its entry, after the list's lag.
func (p *Platform) PutInstance(i backing.ListedInstance) {
	p.changeList(func(l *instanceList) { l.instances[i.ID] = i })
}

// RemoveInstance removes an instance from the list after its lag.
func (p *Platform) RemoveInstance(id fleet.InstanceID) {
	p.changeList(func(l *instanceList) { delete(l.instances, id) })
}

// PutEndpoint lists an endpoint, or changes its entry, after the list's lag.
func (p *Platform) PutEndpoint(e fleet.Endpoint) {
	p.changeList(func(l *instanceList) { l.endpoints[e.ID] = e })
}

// RemoveEndpoint removes an endpoint from the list after its lag.
func (p *Platform) RemoveEndpoint(id fleet.EndpointID) {
	p.changeList(func(l *instanceList) { delete(l.endpoints, id) })
}

type listReader struct{ p *Platform }

// List implements backing.InstanceList.
func (r listReader) List(ctx context.Context) (backing.Listing, error) {
	var out backing.Listing
	err := r.p.call(ctx, Instances, false, func() error {
		r.p.list.advance(time.Now())
		out = r.p.list.listing()
		return nil
	})
	return out, err
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(fleet.InstanceID(chi.URLParam(r, "id")))
	jsonhttp.Answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) deleteEndpoint(w http.ResponseWriter, r *http.Request) {
	p.RemoveEndpoint(fleet.EndpointID(chi.URLParam(r, "id")))
	jsonhttp.Answer(w, http.StatusOK, struct{}{})
}
