// Package dev runs a small deployment in one process on loopback: entry
// instances and stand-ins for the platform, the model engines and a booking
// service, with a sample table. It is used by the development command, the
// measurement commands and tests. It owns the lifecycle of all these parts.
package dev

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/daemon"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/settings"
	"github.com/hyssophaven/hyssophaven/standin"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
	standinservice "github.com/hyssophaven/hyssophaven/standin/service"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// Options configures a deployment. Deployment and Log are required.
type Options struct {
	Deployment Deployment
	Instances  int    // number of entry instances; 0 means 3
	Listen     string // address for callers of the first instance; empty means a free port
	Log        *log.Logger
	// ConfigureEngine, if set, modifies the configuration of each engine before it starts.
	ConfigureEngine func(*standinengine.Config)
	// ConfigureSettings, if set, modifies the settings of each instance before it
	// starts.
	ConfigureSettings func(*settings.Settings)
	// ListLag is the time after which a change appears in the platform's list of
	// instances and endpoints; 0 means 1 s.
	ListLag time.Duration
}

// Running is a started deployment.
type Running struct {
	Options       Options
	OperatorToken string // bearer token of the operators' API
	Platform      *standinplatform.Platform
	Engines       []*standinengine.Engine
	Services      []*standinservice.Service
	Instances     []*daemon.Instance

	secret          string
	platformAddress string
	standIns        []*standin.Server
}

const (
	defaultInstances = 3
	defaultListLag   = time.Second
	loopback         = "127.0.0.1:0"
)

// Start starts the stand-ins and the instances and returns without waiting for
// readiness, which takes a few seconds. On an error it stops what was started.
func Start(ctx context.Context, o Options) (*Running, error) {
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.ListLag == 0 {
		o.ListLag = defaultListLag
	}
	r := &Running{Options: o, OperatorToken: uuid.NewString(), secret: uuid.NewString()}
	steps := []func(context.Context) error{r.startPlatform, r.startEngines, r.startServices, r.seedTable, r.startInstances}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, r.Stop(context.WithoutCancel(ctx)))
		}
	}
	return r, nil
}

func (r *Running) startPlatform(ctx context.Context) error {
	d := r.Options.Deployment
	r.Platform = standinplatform.New(standinplatform.Config{
		ListLag: r.Options.ListLag,
		Weights: standinplatform.WeightConfig{ModelLoadsPerSecond: d.LoadsPerSecond, ModelLoadsAtFullSpeed: d.MaxConcurrentLoads, AdapterLoadsAtFullSpeed: d.MaxAdapterLoads},
	})
	server, err := r.serveStandIn(ctx, "platform", r.Platform)
	if err == nil {
		r.platformAddress = server.Address()
	}
	return err
}

func (r *Running) serveStandIn(ctx context.Context, name string, backend standin.Backend) (*standin.Server, error) {
	server, err := standin.Start(ctx, name, backend, loopback)
	if err != nil {
		backend.Close()
		return nil, fmt.Errorf("start stand-in %s: %w", name, err)
	}
	r.standIns = append(r.standIns, server)
	return server, nil
}

func (r *Running) startEngines(ctx context.Context) error {
	d := r.Options.Deployment
	for i := range d.Replicas {
		c := standinengine.Config{
			ID: r.EngineID(i), MemoryMB: replicaMemoryMB, Slots: replicaSlots,
			AdapterLoadTime: d.AdapterLoadTime, Weights: r.Platform.Weights(), ChecksTokens: true, Seed: uint64(i + 1),
		}
		if r.Options.ConfigureEngine != nil {
			r.Options.ConfigureEngine(&c)
		}
		e := standinengine.New(c)
		server, err := r.serveStandIn(ctx, c.ID, e)
		if err != nil {
			return err
		}
		r.Engines = append(r.Engines, e)
		r.Platform.PutEndpoint(fleet.Endpoint{
			ID: fleet.EndpointID(c.ID), Kind: fleet.ModelEngine, Pool: d.Pool, DataCentre: d.DataCentres[i%len(d.DataCentres)],
			Address: server.Address(), ChecksTokens: c.ChecksTokens, MemoryMB: c.MemoryMB, Slots: c.Slots,
		})
	}
	return nil
}

// EngineID returns the endpoint ID of the engine with the given index, from 0.
func (r *Running) EngineID(index int) string {
	return fmt.Sprintf("%s-%02d", r.Options.Deployment.Pool, index+1)
}

func (r *Running) startServices(ctx context.Context) error {
	d := r.Options.Deployment
	for i := range d.ServiceEndpoints {
		c := standinservice.Config{ID: fmt.Sprintf("%s-%02d", d.ServicePool, i+1), CallTime: 5 * time.Millisecond, Slots: serviceSlots}
		s := standinservice.New(c)
		server, err := r.serveStandIn(ctx, c.ID, s)
		if err != nil {
			return err
		}
		r.Services = append(r.Services, s)
		r.Platform.PutEndpoint(fleet.Endpoint{
			ID: fleet.EndpointID(c.ID), Kind: fleet.PlainService, Pool: d.ServicePool,
			DataCentre: d.DataCentres[i%len(d.DataCentres)], Address: server.Address(), Slots: serviceSlots,
		})
	}
	return nil
}

func (r *Running) seedTable(ctx context.Context) error {
	edit := table.Edit{Author: "dev"}
	for _, row := range r.Options.Deployment.Rows() {
		edit.Changes = append(edit.Changes, table.Change{Row: row})
	}
	if _, err := tablestore.New(r.Platform.Tables()).Edit(ctx, edit); err != nil {
		return fmt.Errorf("write sample table: %w", err)
	}
	return nil
}

func (r *Running) startInstances(ctx context.Context) error {
	for i := range r.Options.Instances {
		listen := loopback
		if i == 0 && r.Options.Listen != "" {
			listen = r.Options.Listen
		}
		if _, err := r.StartInstance(ctx, i, listen); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance starts a further entry instance and adds it to the platform's
// list. The number, from 0, selects its ID and data centre; listen is its
// address for callers. It must not be called concurrently.
func (r *Running) StartInstance(ctx context.Context, number int, listen string) (*daemon.Instance, error) {
	s := r.instanceSettings(number, listen)
	i, err := daemon.New(s, r.Options.Log.With("instance", s.Instance.ID))
	if err != nil {
		return nil, err
	}
	self := i.Self()
	r.Platform.PutInstance(backing.ListedInstance{ID: self.ID, DataCentre: self.DataCentre, PeerAddress: self.PeerAddress})
	if err := i.Start(ctx); err != nil {
		return nil, err
	}
	r.Instances = append(r.Instances, i)
	return i, nil
}

func (r *Running) instanceSettings(number int, listen string) settings.Settings {
	d := r.Options.Deployment
	s := settings.Default()
	s.Instance.DataCentre = string(d.DataCentres[number%len(d.DataCentres)])
	s.Instance.ID = fmt.Sprintf("%s-entry-%d", s.Instance.DataCentre, number+1)
	s.Instance.BalancerWait = tomlfile.Duration(500 * time.Millisecond)
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen, s.Peers.Advertise = listen, loopback, loopback, loopback
	s.Operators.Token, s.Peers.Secret = r.OperatorToken, r.secret
	s.Platform.Address = r.platformAddress
	s.WeightStore = settings.WeightStore{LoadsPerSecond: d.LoadsPerSecond, MaxConcurrentLoads: d.MaxConcurrentLoads, MaxAdapterLoads: d.MaxAdapterLoads}
	if r.Options.ConfigureSettings != nil {
		r.Options.ConfigureSettings(&s)
	}
	return s
}

// routableCheckInterval is the polling interval of waitUntilRoutable.
const routableCheckInterval = 100 * time.Millisecond

// WaitRoutable waits until every instance is ready and can route every model
// and adapter of the sample table.
func (r *Running) WaitRoutable(ctx context.Context) error {
	return r.waitUntilRoutable(ctx, func(row table.Row) bool { return row.Kind == table.KindModel || row.Kind == table.KindAdapter })
}

// WaitFirstRoutable waits until every instance is ready and can route the first
// kind of work of the sample table.
func (r *Running) WaitFirstRoutable(ctx context.Context) error {
	name := r.Options.Deployment.Work[0].Name
	return r.waitUntilRoutable(ctx, func(row table.Row) bool { return row.Name == name })
}

func (r *Running) waitUntilRoutable(ctx context.Context, isRequired func(table.Row) bool) error {
	ticker := time.NewTicker(routableCheckInterval)
	defer ticker.Stop()
	for {
		missing := ""
		for _, i := range r.Instances {
			s := i.Control().Snapshot()
			if !s.Ready {
				missing = fmt.Sprintf("instance %s: %s", s.Self.ID, s.NotReadyReason)
				break
			}
			for _, row := range r.Options.Deployment.Rows() {
				if isRequired(row) && !s.RoutableRows[row.Name] {
					missing = fmt.Sprintf("row %s on instance %s", row.Name, s.Self.ID)
				}
			}
		}
		if missing == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("not routable yet: %s: %w", missing, ctx.Err())
		}
	}
}

// Stop stops the instances gracefully and then the stand-ins.
func (r *Running) Stop(ctx context.Context) error {
	errs := make([]error, len(r.Instances))
	done := make(chan struct{})
	for n, i := range r.Instances {
		go func() {
			errs[n] = i.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range r.Instances {
		<-done
	}
	for _, p := range r.standIns {
		errs = append(errs, p.Stop(ctx))
	}
	return errors.Join(errs...)
}
