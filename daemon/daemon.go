// Package daemon assembles an instance started with the serve command: it binds
// the listeners, creates the services from the settings and registers them on a
// kernel. It makes no decisions itself.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/backing/guard"
	"github.com/hyssophaven/hyssophaven/burnstore"
	"github.com/hyssophaven/hyssophaven/certs"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/controlrecords"
	"github.com/hyssophaven/hyssophaven/engineclients"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/gossip"
	"github.com/hyssophaven/hyssophaven/instancelist"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/operator"
	"github.com/hyssophaven/hyssophaven/peer"
	"github.com/hyssophaven/hyssophaven/settings"
	"github.com/hyssophaven/hyssophaven/tablesync"
)

// recordsInterval is the time between reads of the fleet's ledgers and plans.
const recordsInterval = time.Second

// Instance holds the services and listeners of one instance. Create it with New;
// Start and Stop may each be called once.
type Instance struct {
	self      fleet.Instance
	kernel    *kernel.Kernel
	control   *control.Service
	gateway   *gateway.Gateway
	peers     *peer.Service
	client    *backinghttp.Client
	listeners listeners
	log       *log.Logger
	vars      *expvar.Map
}

// listeners holds the bound listeners of an instance.
type listeners struct {
	callers, operators, peers net.Listener
}

// New binds the listeners and registers all services. The counters are published
// in expvar under the instance's ID.
func New(s settings.Settings, logger *log.Logger) (*Instance, error) {
	k, err := kernel.New()
	if err != nil {
		return nil, err
	}
	i := &Instance{kernel: k, log: logger, vars: new(expvar.Map).Init()}
	if i.listeners, err = listen(s); err != nil {
		return nil, err
	}
	i.self = fleet.Instance{
		ID: fleet.InstanceID(s.Instance.ID), Incarnation: newIncarnation(), DataCentre: fleet.DataCentre(s.Instance.DataCentre),
		PeerAddress: advertisedAddress(s, i.listeners.peers), CallerAddress: i.listeners.callers.Addr().String(),
		OperatorAddress: i.listeners.operators.Addr().String(),
	}
	if err := i.assemble(s); err != nil {
		i.listeners.close()
		return nil, err
	}
	publishVars(s.Instance.ID, i.vars)
	return i, nil
}

// newIncarnation returns the wall-clock time in nanoseconds. It increases with every
// start unless the clock was set back across a restart. The platform gives a new
// name to an instance that replaces another.
func newIncarnation() fleet.Incarnation { return fleet.Incarnation(time.Now().UnixNano()) }

// advertisedAddress returns the address that peers connect to. With port 0 or no
// configured address, it is the bound address of the listener.
func advertisedAddress(s settings.Settings, l net.Listener) string {
	if _, port, err := net.SplitHostPort(s.Peers.Advertise); err == nil && port != "0" {
		return s.Peers.Advertise
	}
	return l.Addr().String()
}

func listen(s settings.Settings) (listeners, error) {
	var l listeners
	var errs [3]error
	l.callers, errs[0] = net.Listen("tcp", s.Callers.Listen)
	l.operators, errs[1] = net.Listen("tcp", s.Operators.Listen)
	l.peers, errs[2] = net.Listen("tcp", s.Peers.Listen)
	if err := errors.Join(errs[:]...); err != nil {
		l.close()
		return l, fmt.Errorf("bind listeners: %w", err)
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// assemble creates the services and their shared clients and registers the
// services on the kernel.
func (i *Instance) assemble(s settings.Settings) error {
	i.client = backinghttp.NewClient(s.Platform.Address, backinghttp.Options{
		BearerToken: s.Platform.Token, Timeout: time.Duration(s.Platform.Timeout),
	})
	bounds := guard.DefaultConfig()
	bounds.Timeout = time.Duration(s.Platform.Timeout)
	tables := guard.TableStore(i.client.Tables(), bounds, i.varGroup("table_store"))
	objects := guard.ObjectStore(i.client.Objects(), bounds, i.varGroup("object_store"))
	tlsConfigs, err := i.loadTLS(s.TLS)
	if err != nil {
		return err
	}
	dialer := newDialer()
	i.control = control.New(controlConfig(s, i.self))
	engineService := engineclients.New(engineclients.Config{
		Dial: dialer.client, ReportInterval: time.Duration(s.Endpoints.ReportInterval), Vars: i.varGroup("engines"),
	})
	burnCounts := burnstore.New(burnstore.Config{Self: i.self, Objects: objects, Vars: i.varGroup("burn")})
	if i.gateway, err = gateway.New(gatewayConfig(s, i, engineService, tables, objects, tlsConfigs.callers, burnCounts)); err != nil {
		return err
	}
	i.peers, err = peer.New(peer.Options{
		Self: i.self, Secret: []byte(s.Peers.Secret), Listener: i.listeners.peers,
		ServerTLS: tlsConfigs.peerServer, ClientTLS: tlsConfigs.peerClient, HandlerService: gossip.ReceiverName,
	})
	if err != nil {
		return err
	}
	i.vars.Set("gateway", i.gateway.Vars())
	i.vars.Set("peers", peerVars(i.peers.Counters()))
	i.vars.Set("control", i.control.Vars())
	i.kernel.Register(burnCounts)
	i.register(s, engineService, tables, objects, tlsConfigs)
	return nil
}

// varGroup adds a map of counters under the given name.
func (i *Instance) varGroup(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	i.vars.Set(name, m)
	return m
}

func (i *Instance) register(s settings.Settings, engineService *engineclients.Service, tables backing.TableStore, objects backing.ObjectStore, t tlsConfigs) {
	k := i.kernel
	k.Register(i.control)
	k.Register(engineService)
	k.Register(i.gateway)
	k.Register(instancelist.New(i.client.Instances(), time.Duration(s.Platform.ListInterval), time.Duration(s.Platform.Timeout), i.varGroup("listing")))
	k.Register(controlrecords.New(controlrecords.Config{Self: i.self, Store: tables, ReadInterval: recordsInterval, Vars: i.varGroup("records")}))
	k.Register(tablesync.New(tablesync.Config{
		TableStore: tables, ObjectStore: objects, SyncInterval: time.Duration(s.Platform.TableInterval),
		PeerFetchTimeout: time.Duration(s.Platform.Timeout), Vars: i.varGroup("table"),
	}))
	k.Register(gossip.NewReceiver())
	k.Register(gossip.NewSender())
	k.Register(i.peers)
	k.Register(operator.NewServer(operator.Config{
		Listener: i.listeners.operators, TLS: t.operators, Token: s.Operators.Token, Vars: i.varGroup("operators"),
	}))
	k.Register(newChangeLog(i.log, i.varGroup("changes")))
}

// tlsConfigs holds the TLS configuration of each listener and of the peer client,
// or nil where TLS is not configured.
type tlsConfigs struct {
	callers, operators, peerServer, peerClient *tls.Config
}

// loadTLS loads the configured certificates and exports their counters.
func (i *Instance) loadTLS(t settings.TLS) (tlsConfigs, error) {
	var out tlsConfigs
	vars := certs.Counters()
	i.vars.Set("certificates", vars)
	for _, c := range []struct {
		settings settings.Certificate
		server   **tls.Config
		client   **tls.Config
	}{{t.Callers, &out.callers, nil}, {t.Operators, &out.operators, nil}, {t.Peers, &out.peerServer, &out.peerClient}} {
		if !c.settings.Enabled() {
			continue
		}
		source, err := certs.New(certs.Files{Cert: c.settings.CertFile, Key: c.settings.KeyFile, CA: c.settings.ClientCAFile}, vars)
		if err != nil {
			return out, err
		}
		*c.server = source.ServerConfig()
		if c.client != nil {
			*c.client = source.ClientConfig()
		}
	}
	return out, nil
}

// Self returns the instance's identity with its bound addresses.
func (i *Instance) Self() fleet.Instance { return i.self }

// Control returns the instance's control service.
func (i *Instance) Control() *control.Service { return i.control }

// Vars returns the instance's counters, grouped by service.
func (i *Instance) Vars() *expvar.Map { return i.vars }

// Start starts all services. If one fails, those already started are stopped
// and the listeners are closed.
func (i *Instance) Start(ctx context.Context) error {
	if err := i.kernel.Start(ctx); err != nil {
		i.listeners.close()
		return err
	}
	i.log.Info("instance started", "callers", i.self.CallerAddress, "operators", i.self.OperatorAddress, "peers", i.self.PeerAddress)
	return nil
}

// Stop shuts the instance down gracefully: it reports not ready and gives up its
// leases, and the gateway serves until the balancer has had time to react and
// every request in flight has ended. Requests are aborted only if ctx ends first.
func (i *Instance) Stop(ctx context.Context) error {
	i.control.Post(control.StopRequested{})
	err := i.kernel.Stop(ctx)
	i.client.Close()
	i.log.Info("instance stopped")
	return err
}
