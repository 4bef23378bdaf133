package edge

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against requests that run without the key of a customer or with one that was
// taken away, keys that reach replicas, and customers' names that callers choose.
func TestRequestsNeedKeyOfCustomer(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	const public = `,{"name":"open","host":"h.example","path-prefix":"/open/","kind":"idempotent","timeout-ms":1500,"goal-ms":150,"priority":2,"service":"app","attempts":2,"public":true}`
	requests := 0
	send := func(path, key string) (reply, []platformtest.Run) {
		model := "m1"
		if path == "/open/x" {
			model = ""
		}
		requests++
		id := fmt.Sprint("customer-request-", requests)
		h := http.Header{"X-Hyssophaven-Tenant": {"forged"}}
		if key != "" {
			h.Set("Api-Key", key)
		}
		r := d.do(0, request{Method: "POST", Path: path, ID: id, Model: model, Header: h})
		return r, d.Runs(id)
	}
	d.PutConfigWithCustomers(2, public, `[{"name":"a","api-keys":["key-a","key-b"],"priority":2}]`)
	d.eventually("the keys are in force", func() bool { return d.logged("config taken over", "version=2") })
	for _, key := range []string{"", "no-such-key"} {
		r, runs := send("/chat/x", key)
		is.Equal(r.Status, http.StatusUnauthorized)
		is.Equal(len(runs), 0)
	}
	r, runs := send("/chat/x", "key-b")
	is.Equal(r.Status, http.StatusOK)
	is.Equal(runs[0].Customer, "a")
	is.Equal(runs[0].Key, "")
	is.Equal(runs[0].Urgency, "7") // rank 2, that of the customer, instead of 0
	r, runs = send("/open/x", "")
	is.Equal(r.Status, http.StatusOK)
	is.Equal(runs[0].Customer, "")
	d.PutConfigWithCustomers(3, public, `[{"name":"a","api-keys":["key-a"]}]`)
	d.eventually("the key is taken away", func() bool { return d.logged("config taken over", "version=3") })
	r, _ = send("/chat/y", "key-b")
	is.Equal(r.Status, http.StatusUnauthorized)
	r, runs = send("/chat/y", "key-a")
	is.Equal(r.Status, http.StatusOK)
	is.Equal(runs[0].Urgency, "1") // the rank of the route
	for _, key := range []string{"key-a", "key-b", "no-such-key"} {
		is.True(!d.logged(key)) // keys are secrets
	}
}
