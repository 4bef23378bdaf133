//go:build linux

package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/operator"
	"github.com/hyssophaven/hyssophaven/platform/platformhttp"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

const (
	operatorToken = "operator-token-of-the-tests"
	peerSecret    = "peer-secret-of-the-tests"
	engineMB      = 50_000
	modelMB       = 20_000
	modelCount    = 4
	engineCount   = 3
	serviceCount  = 2
	instanceCount = 3
)

// options change a deployment. The zero value is 3 instances and 3 engines
// that check fencing tokens.
type options struct {
	engineFlags   []string // of every engine
	ignoresTokens bool     // no engine checks fencing tokens
	maxOrderDelay string   // default "2s"
	extraSettings string   // more sections of every instance's settings
}

// endpoint is a stand-in engine or service behind a link.
type endpoint struct {
	*process
	link    *link
	message platformhttp.EndpointMessage
	direct  string // address without the link
	args    []string
}

// instance is one entry instance. Its platform and its peers reach it and are
// reached through links.
type instance struct {
	*process
	id        string
	platform  *link // to the platform
	peers     *link // from its peers
	callers   string
	operators string
	config    string
}

type deployment struct {
	t         *testing.T
	o         options
	dir       string
	address   string // of the platform
	engines   []*endpoint
	services  []*endpoint
	instances []*instance
	started   int // instances so far
}

// startDeployment starts everything and waits until every instance serves every row.
func startDeployment(t *testing.T, o options) *deployment {
	t.Helper()
	d := &deployment{t: t, o: o, dir: t.TempDir(), address: freeAddress(t)}
	p := startProcess(t, d.dir, "platform", "standin", "platform", "--listen", d.address, "--list-lag", "200ms", "--loads-per-second", "0")
	waitListening(t, p, d.address)
	for i := range engineCount {
		flags := append([]string{"--memory-mb", fmt.Sprint(engineMB), "--model-load-time", "50ms", "--restart-delay", "500ms"}, o.engineFlags...)
		if !o.ignoresTokens {
			flags = append(flags, "--checks-tokens")
		}
		d.engines = append(d.engines, d.startEndpoint("engine", i, flags))
	}
	for i := range serviceCount {
		d.services = append(d.services, d.startEndpoint("service", i, nil))
	}
	d.seedTable()
	for range instanceCount {
		d.startInstance()
	}
	d.waitReachable()
	return d
}

func (d *deployment) startEndpoint(kind string, number int, flags []string) *endpoint {
	d.t.Helper()
	id := fmt.Sprintf("%s-%d", kind, number+1)
	e := &endpoint{direct: freeAddress(d.t)}
	e.args = append([]string{"standin", kind, "--listen", e.direct, "--id", id}, flags...)
	e.process = startProcess(d.t, d.dir, id, e.args...)
	waitListening(d.t, e.process, e.direct)
	e.link = newLink(d.t, id, e.direct)
	e.message = platformhttp.EndpointMessage{ID: id, Kind: kind, Pool: "booking", DataCentre: dataCentre(number), Address: e.link.address(), Slots: 32}
	if kind == "engine" {
		e.message.Pool, e.message.MemoryMB, e.message.Slots, e.message.ChecksTokens = "models", engineMB, 16, !d.o.ignoresTokens
	}
	d.list(e.message)
	return e
}

// restart kills the process and starts it again at the same address. Its
// counts begin anew.
func (d *deployment) restart(e *endpoint) {
	d.t.Helper()
	e.kill()
	e.process = startProcess(d.t, d.dir, e.name, e.args...)
	waitListening(d.t, e.process, e.direct)
}

func dataCentre(number int) string { return fmt.Sprintf("dc-%d", number%3+1) }

func (d *deployment) list(m platformhttp.EndpointMessage) {
	d.t.Helper()
	d.put("/list/endpoints/"+m.ID, m)
}

// faults replaces the faults of one of the platform's services.
func (d *deployment) faults(service, text string) {
	d.t.Helper()
	d.put("/faults/"+service, json.RawMessage(text))
}

// storesFail replaces the faults of the table service and the object store.
func (d *deployment) storesFail(text string) {
	d.t.Helper()
	d.faults("tables", text)
	d.faults("objects", text)
}

func (d *deployment) put(path string, body any) {
	d.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := call(http.MethodPut, "http://"+d.address+path, data, nil); err != nil {
		d.t.Fatal(err)
	}
}

// call makes a request to a stand-in and decodes the answer into result.
func call(method, url string, body []byte, result any) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i+1) }

func adapterName(i int) string { return fmt.Sprintf("adapter-%d", i+1) }

// rows returns the table of the deployment: a model and an adapter on it for
// each rank and one more, and a booking service.
func rows() []table.Row {
	out := []table.Row{
		{Name: "urgent", Kind: table.KindRank, Rank: fleet.Urgent, Weight: 1, Floor: 0.5},
		{Name: "prompt", Kind: table.KindRank, Rank: fleet.Prompt, Weight: 1, Floor: 0.1},
		{Name: "patient", Kind: table.KindRank, Rank: fleet.Patient, Weight: 1, Floor: 0.05},
		{Name: "booking", Kind: table.KindService, Rank: fleet.Urgent, Weight: 1, Pool: "booking", NotIdempotent: []string{"POST /bookings"}},
	}
	for i := range modelCount {
		rank := fleet.Ranks()[i%fleet.RankCount]
		out = append(out,
			table.Row{Name: modelName(i), Kind: table.KindModel, Rank: rank, Weight: 1, Pool: "models", Version: "1", MemoryMB: modelMB},
			table.Row{Name: adapterName(i), Kind: table.KindAdapter, Rank: rank, Weight: 1, Base: modelName(i), Version: "1", MemoryMB: 200})
	}
	return out
}

// served returns the names of the rows that callers use as models.
func served() []string {
	var out []string
	for i := range modelCount {
		out = append(out, modelName(i), adapterName(i))
	}
	return out
}

func (d *deployment) seedTable() {
	d.t.Helper()
	client := platformhttp.NewClient(d.address, platformhttp.Options{})
	defer client.Close()
	edit := table.Edit{Author: "test"}
	for _, r := range rows() {
		edit.Changes = append(edit.Changes, table.Change{Row: r})
	}
	if _, err := tablestore.New(client.Tables()).Edit(d.t.Context(), edit); err != nil {
		d.t.Fatal(err)
	}
}

const settingsText = `
[instance]
id = %q
data_centre = %q
balancer_wait = "1s"
[callers]
listen = %q
[operators]
listen = %q
token = %q
[peers]
listen = %q
advertise = %q
secret = %q
[platform]
address = %q
table_interval = "1s"
[endpoints]
max_order_delay = %q
shards = 8
[weight_store]
loads_per_second = 200.0
at_once = 100
`

// startInstance starts one more instance and lists it.
func (d *deployment) startInstance() *instance {
	d.t.Helper()
	i := d.newInstance(peerSecret, d.o.extraSettings)
	d.listInstance(i)
	i.process = startProcess(d.t, d.dir, i.id, "serve", "--config", i.config)
	d.instances = append(d.instances, i)
	return i
}

func (d *deployment) listInstance(i *instance) {
	d.t.Helper()
	d.put("/list/instances/"+i.id, platformhttp.InstanceMessage{ID: i.id, DataCentre: dataCentre(d.started), PeerAddress: i.peers.address()})
}

// newInstance writes the settings of one more instance and opens its links.
func (d *deployment) newInstance(secret, extra string) *instance {
	d.t.Helper()
	d.started++
	listen := freeAddress(d.t)
	i := &instance{id: fmt.Sprintf("entry-%d", d.started), callers: freeAddress(d.t), operators: freeAddress(d.t)}
	i.platform = newLink(d.t, i.id+"-platform", d.address)
	i.peers = newLink(d.t, i.id+"-peers", listen)
	delay := d.o.maxOrderDelay
	if delay == "" {
		delay = "2s"
	}
	text := fmt.Sprintf(settingsText, i.id, dataCentre(d.started), i.callers, i.operators, operatorToken, listen,
		i.peers.address(), secret, i.platform.address(), delay) + extra
	i.config = filepath.Join(d.dir, i.id+".toml")
	if err := os.WriteFile(i.config, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return i
}

// remove takes an ended instance from the platform's list.
func (d *deployment) remove(i *instance) {
	d.t.Helper()
	if err := call(http.MethodDelete, "http://"+d.address+"/list/instances/"+i.id, nil, nil); err != nil {
		d.t.Fatal(err)
	}
	for n, other := range d.instances {
		if other == i {
			d.instances = append(d.instances[:n], d.instances[n+1:]...)
			return
		}
	}
}

func (i *instance) operator() *operator.Client {
	return operator.NewClient("http://"+i.operators, operatorToken, nil)
}

// ready reports what a balancer sees.
func (i *instance) ready() bool {
	response, err := balancer.Get("http://" + i.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// edit changes one row through an instance, starting from its current state.
// It repeats the edit after conflicts and unknown outcomes.
func (d *deployment) edit(through *instance, name string, change func(*table.Row)) uint64 {
	d.t.Helper()
	var revision uint64
	waitNil(d.t, "an edit of "+name, func() error {
		seen, err := through.operator().Table(d.t.Context())
		if err != nil {
			return err
		}
		row, ok := seen.Row(name)
		if !ok {
			return fmt.Errorf("row %q does not exist", name)
		}
		change(&row)
		revision, err = through.operator().Edit(d.t.Context(), table.Edit{Changes: []table.Change{{Row: row, BasedOn: row.RowVersion}}})
		return err
	})
	return revision
}

// waitInForce waits until every instance has adopted the revision.
func (d *deployment) waitInForce(revision uint64) {
	d.t.Helper()
	waitNil(d.t, fmt.Sprintf("revision %d on every instance", revision), func() error {
		for _, i := range d.instances {
			s, err := i.operator().Status(d.t.Context())
			if err != nil {
				return err
			}
			if s.TableRevision < revision {
				return fmt.Errorf("%s is at revision %d", i.id, s.TableRevision)
			}
		}
		return nil
	})
}

// waitReachable waits until every instance answers every row (I2).
func (d *deployment) waitReachable() {
	d.t.Helper()
	for _, i := range d.instances {
		waitFor(d.t, i.id+" to be ready", i.ready)
		for _, name := range served() {
			waitNil(d.t, fmt.Sprintf("%s to answer for %s", i.id, name), func() error {
				err := checkAnswer(d.t.Context(), i, name, newText("reach"), 1)
				if errors.Is(err, errWrongAnswer) {
					d.t.Fatal(err)
				}
				return err
			})
		}
	}
}

// owners returns the owner of each replica as an instance sees it.
func (d *deployment) owners(through *instance) map[string]string {
	out := make(map[string]string)
	if s, err := through.operator().Status(d.t.Context()); err == nil {
		for _, e := range s.Endpoints {
			if strings.HasPrefix(e.ID, "engine") {
				out[e.ID] = e.Owner
			}
		}
	}
	return out
}
