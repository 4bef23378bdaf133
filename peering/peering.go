// Package peering connects the instances of a deployment: each tells the holder
// of the order lease its load and demand and asks it for adapters, by JSON-RPC
// over TCP. It decides nothing.
package peering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/netdial"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/worker"
)

// Name is the service's name in the kernel.
const Name = "peering"

// The methods.
const (
	methodState   = "state"
	methodAdapter = "adapter"
)

const (
	dialTimeout = 500 * time.Millisecond
	// stateTimeout is several round trips; a peer that is slower counts as gone.
	stateTimeout = 600 * time.Millisecond
	// tickSlack is the part of the time between two states by which the timer may
	// fire early.
	tickSlack = 20 * time.Millisecond
	// adapterTimeout is longer than the holder waits for an adapter.
	adapterTimeout = 900 * time.Millisecond
)

// adapterWish is the parameter of methodAdapter.
type adapterWish struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// Service connects to the holder and serves the others. It implements kernel.Service.
type Service struct {
	node    nodeconfig.Node
	log     *log.Logger
	control *controlplane.Service
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	server  net.Listener
	group   *worker.Group
	wake    chan struct{}

	mu     sync.Mutex // guards the connection to the holder, which is no control state
	holder string     // address of the holder; empty if it is this instance or none is known
	link   *jsonrpc2.Conn
	served map[*jsonrpc2.Conn]bool

	// When the last state was sent, to which address, and the time between two;
	// used by tellHolder only.
	told   time.Time
	toldTo string
	every  time.Duration
}

// New returns a service that has not been started.
func New(node nodeconfig.Node, logger *log.Logger) *Service {
	return &Service{
		node: node, log: logger, dial: netdial.Dialer(dialTimeout), group: worker.NewGroup(),
		wake: make(chan struct{}, 1), served: make(map[*jsonrpc2.Conn]bool), every: controlplane.StateInterval,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{controlplane.Name} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.Name); err != nil {
		return err
	}
	if s.server, err = netdial.ListenConfig().Listen(ctx, "tcp", s.node.PeerAddress()); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.group.Go(s.accept)
	s.group.Every(controlplane.StateInterval, s.wake, s.tellHolder)
	return errors.Join(
		worker.Subscribe(s.group, k.Bus(), "peering.holder", s.holderChanged),
		worker.Subscribe(s.group, k.Bus(), "peering.adapter", s.askAdapter),
	)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Close()
	s.setHolder("")
	s.mu.Lock()
	for c := range s.served {
		_ = c.Close()
	}
	s.mu.Unlock()
	return errors.Join(err, s.group.Stop(ctx))
}

func (s *Service) holderChanged(_ context.Context, e controlplane.HolderChanged) {
	address := e.Address
	if e.Self {
		address = ""
	}
	s.setHolder(address)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) setHolder(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != address {
		s.dropLink()
	}
	s.holder = address
}

// dropLink closes the connection to the holder. The mutex is held.
func (s *Service) dropLink() {
	if s.link != nil {
		_ = s.link.Close()
		s.link = nil
	}
}

// connect returns the connection to the holder, or nil if there is no other holder.
func (s *Service) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	address, link := s.holder, s.link
	s.mu.Unlock()
	if link != nil || address == "" {
		return link, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to the holder of the order lease: %w", err)
	}
	link = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), noRequests{}, jsonrpc2.SetLogger(s.log.StandardLog()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != address || s.link != nil {
		_ = link.Close()
		return s.link, nil
	}
	s.link = link
	return link, nil
}

// noRequests answers nothing: the holder sends no requests on this connection.
type noRequests struct{}

func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// call calls the holder. It returns false if there is no other holder.
func (s *Service) call(ctx context.Context, timeout time.Duration, method string, params, result any) (bool, error) {
	link, err := s.connect(ctx)
	if err != nil || link == nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = link.Call(ctx, method, params, result)
	var answered *jsonrpc2.Error
	if err != nil && !errors.As(err, &answered) {
		s.mu.Lock()
		if s.link == link {
			s.dropLink()
		}
		s.mu.Unlock()
	}
	return true, err
}

// tellHolder sends this instance's state and takes over the fleet's.
func (s *Service) tellHolder(ctx context.Context) {
	s.mu.Lock()
	address := s.holder
	s.mu.Unlock()
	if address == "" || (address == s.toldTo && time.Since(s.told) < s.every-tickSlack) {
		return
	}
	s.told, s.toldTo = time.Now(), address
	own, err := s.control.OwnState(ctx)
	if err != nil {
		return // the instance stops
	}
	var answer fleetMessage
	called, err := s.call(ctx, stateTimeout, methodState, encodeState(own), &answer)
	if err != nil {
		s.log.Debug("holder does not answer", "address", address, "error", err)
		return
	}
	if called {
		fleet := decodeFleet(answer)
		s.every = fleet.Interval
		s.control.Post(controlplane.FleetSeen{State: fleet})
	}
}

func (s *Service) askAdapter(ctx context.Context, e controlplane.AskAdapter) {
	result := residency.AdapterResult{Replica: e.Replica, Model: e.Model, Adapter: e.Adapter}
	called, err := s.call(ctx, adapterTimeout, methodAdapter, adapterWish{e.Replica, e.Model, e.Adapter}, nil)
	switch {
	case err != nil:
		result.Reason = err.Error()
	case !called:
		result.Reason = "no instance gives orders"
	default:
		result.OK = true
	}
	s.control.Post(controlplane.AdapterAnswered{Result: result})
}

// accept serves other instances.
func (s *Service) accept(ctx context.Context) {
	for {
		raw, err := s.server.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept a peer", "error", err)
			select {
			case <-time.After(dialTimeout):
				continue
			case <-ctx.Done():
				return
			}
		}
		handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
		conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), handler, jsonrpc2.SetLogger(s.log.StandardLog()))
		s.mu.Lock()
		s.served[conn] = true
		s.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			s.mu.Lock()
			delete(s.served, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *Service) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	switch r.Method {
	case methodState:
		var m stateMessage
		if err := json.Unmarshal(*r.Params, &m); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		fleet, err := s.control.ServePeer(ctx, decodeState(m))
		if err != nil {
			return nil, err
		}
		return encodeFleet(fleet), nil
	case methodAdapter:
		var w adapterWish
		if err := json.Unmarshal(*r.Params, &w); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return true, s.control.ServeAdapter(ctx, w.Replica, w.Model, w.Adapter)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}
