//go:build linux

package integration

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/operator"
)

const (
	operatorToken         = "operator-token-of-the-tests"
	peerSecret            = "peer-secret-of-the-tests"
	defaultEngineMemoryMB = 70_000
	modelMemoryMB         = 20_000
	modelCount            = 4
	engineCount           = 3
	serviceCount          = 2
	instanceCount         = 3
)

// options configures a deployment. With the zero value, a deployment has 3
// instances and 3 engines that check fencing tokens, and uses no TLS.
type options struct {
	engineFlags         []string // extra command line flags of every engine
	enginesIgnoreTokens bool     // whether the engines skip the check of fencing tokens
	maxOrderDelay       string   // setting max_order_delay; default "2s"
	engineMemoryMB      int      // memory of each engine; 0 means defaultEngineMemoryMB
	extraSettings       string   // sections appended to the settings of every instance
	// HTTP clients that trust the certificates of the instances; nil disables TLS.
	callerClient, operatorClient *http.Client
}

// endpoint is a stand-in engine or service that instances reach through a link.
type endpoint struct {
	*process
	link          *link
	listEntry     backinghttp.EndpointMessage
	directAddress string // address of the process itself, which bypasses the link
	args          []string
}

// instance is an entry instance. It reaches the platform through one link, and its
// peers reach it through another.
type instance struct {
	*process
	id              string
	platformLink    *link  // from the instance to the platform
	peerLink        *link  // from the peers to the instance
	callerAddress   string // listener for callers
	operatorAddress string // listener for operators
	settingsFile    string
	scheme          string
	callerClient    *http.Client // HTTP client of callers

	operatorClient *http.Client // HTTP client of operators; nil without TLS
}

// deployment is a set of running instances, engines, booking services and the
// stand-in for the platform.
type deployment struct {
	t                  *testing.T
	options            options
	dir                string
	platformAddress    string
	engines            []*endpoint
	services           []*endpoint
	lastInstanceNumber int // number in the id of the most recent instance
	ctx                context.Context

	mu        sync.Mutex
	instances []*instance
}

// members returns the started instances that have not been removed.
func (d *deployment) members() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.instances)
}

// startDeployment starts all processes and waits until every instance serves every
// row.
func startDeployment(t *testing.T, o options) *deployment {
	t.Helper()
	skipKnownRed(t)
	d := &deployment{t: t, ctx: t.Context(), options: o, dir: t.TempDir(), platformAddress: freeAddress(t)}
	p := startProcess(t, d.dir, "platform", "standin", "platform", "--listen", d.platformAddress, "--list-lag", "200ms", "--loads-per-second", "0")
	waitListening(t, p, d.platformAddress)
	d.options.engineMemoryMB = cmp.Or(o.engineMemoryMB, defaultEngineMemoryMB)
	for i := range engineCount {
		flags := append([]string{"--memory-mb", fmt.Sprint(d.options.engineMemoryMB), "--model-load-time", "50ms", "--restart-delay", "500ms"}, o.engineFlags...)
		if !o.enginesIgnoreTokens {
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
	e := &endpoint{directAddress: freeAddress(d.t)}
	e.args = append([]string{"standin", kind, "--listen", e.directAddress, "--id", id}, flags...)
	e.process = startProcess(d.t, d.dir, id, e.args...)
	waitListening(d.t, e.process, e.directAddress)
	e.link = newLink(d.t, id, e.directAddress)
	e.listEntry = backinghttp.EndpointMessage{ID: id, Kind: kind, Pool: "booking", DataCentre: dataCentre(number), Address: e.link.address(), Slots: 32}
	if kind == "engine" {
		e.listEntry.Pool, e.listEntry.MemoryMB, e.listEntry.Slots, e.listEntry.ChecksTokens = "models", d.options.engineMemoryMB, 16, !d.options.enginesIgnoreTokens
	}
	d.listEndpoint(e.listEntry)
	return e
}

func dataCentre(number int) string { return fmt.Sprintf("dc-%d", number%3+1) }

func (d *deployment) listEndpoint(m backinghttp.EndpointMessage) {
	d.t.Helper()
	d.putToPlatform("/list/endpoints/"+m.ID, m)
}

// setPlatformFaults replaces the injected faults of a service of the platform.
func (d *deployment) setPlatformFaults(service, faultsJSON string) {
	d.t.Helper()
	d.putToPlatform("/faults/"+service, json.RawMessage(faultsJSON))
}

// setStoreFaults replaces the injected faults of the table service and the object
// store.
func (d *deployment) setStoreFaults(faultsJSON string) {
	d.t.Helper()
	d.setPlatformFaults("tables", faultsJSON)
	d.setPlatformFaults("objects", faultsJSON)
}

func (d *deployment) putToPlatform(path string, body any) {
	d.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := callStandin(http.MethodPut, "http://"+d.platformAddress+path, data, nil); err != nil {
		d.t.Fatal(err)
	}
}

// callStandin sends a request to a stand-in and decodes the JSON response into
// result unless result is nil.
func callStandin(method, url string, body []byte, result any) error {
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

const settingsFormat = `
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

// startInstance starts a new instance and adds it to the platform's list.
func (d *deployment) startInstance() *instance {
	d.t.Helper()
	i := d.newInstance(peerSecret, d.options.extraSettings)
	d.listInstance(i)
	i.process = startProcess(d.t, d.dir, i.id, "serve", "--config", i.settingsFile)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = append(d.instances, i)
	return i
}

func (d *deployment) listInstance(i *instance) {
	d.t.Helper()
	d.putToPlatform("/list/instances/"+i.id, backinghttp.InstanceMessage{ID: i.id, DataCentre: dataCentre(d.lastInstanceNumber), PeerAddress: i.peerLink.address()})
}

// newInstance writes the settings of a new instance and opens its links. It does
// not start the process.
func (d *deployment) newInstance(secret, extra string) *instance {
	d.t.Helper()
	d.lastInstanceNumber++
	listen := freeAddress(d.t)
	i := &instance{id: fmt.Sprintf("entry-%d", d.lastInstanceNumber), callerAddress: freeAddress(d.t), operatorAddress: freeAddress(d.t), scheme: "http", callerClient: defaultCallerClient}
	if d.options.callerClient != nil {
		i.scheme, i.callerClient, i.operatorClient = "https", d.options.callerClient, d.options.operatorClient
	}
	i.platformLink = newLink(d.t, i.id+"-platform", d.platformAddress)
	i.peerLink = newLink(d.t, i.id+"-peers", listen)
	delay := d.options.maxOrderDelay
	if delay == "" {
		delay = "2s"
	}
	text := fmt.Sprintf(settingsFormat, i.id, dataCentre(d.lastInstanceNumber), i.callerAddress, i.operatorAddress, operatorToken, listen,
		i.peerLink.address(), secret, i.platformLink.address(), delay) + extra
	i.settingsFile = filepath.Join(d.dir, i.id+".toml")
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return i
}

// removeInstance removes an exited instance from the platform's list.
func (d *deployment) removeInstance(i *instance) {
	d.t.Helper()
	if err := callStandin(http.MethodDelete, "http://"+d.platformAddress+"/list/instances/"+i.id, nil, nil); err != nil {
		d.t.Fatal(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = slices.DeleteFunc(d.instances, func(other *instance) bool { return other == i })
}

// callerURL returns the base URL of the callers' interface.
func (i *instance) callerURL() string { return i.scheme + "://" + i.callerAddress }

func (i *instance) newOperatorClient() *operator.Client {
	return operator.NewClient(i.scheme+"://"+i.operatorAddress, operatorToken, i.operatorClient)
}

// balancerClient returns a client with the short timeout of a load balancer's
// readiness check, so that a paused instance soon counts as not ready.
func (i *instance) balancerClient() *http.Client {
	return &http.Client{Transport: i.callerClient.Transport, Timeout: 2 * time.Second}
}

// isReady reports whether the readiness check of a load balancer succeeds.
func (i *instance) isReady() bool {
	response, err := i.balancerClient().Get(i.callerURL() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// setBookingServiceFaults replaces the injected faults of all booking services.
func (d *deployment) setBookingServiceFaults(faultsJSON string) {
	d.t.Helper()
	for _, s := range d.services {
		if err := callStandin(http.MethodPut, "http://"+s.directAddress+"/faults", []byte(faultsJSON), nil); err != nil {
			d.t.Fatal(err)
		}
	}
}
