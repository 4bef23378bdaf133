// Package peering exchanges state between the edge instances of a deployment. Each
// instance sends its load and demand to the holder of the order lease, receives the
// state of the fleet, and requests adapters and tokens of customers' limits from the
// holder, all by JSON-RPC over TCP. It decides nothing. Package peer, the counterpart for instances started with
// the serve command, sends heartbeats to peers rather than states to one holder.
package peering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/boundedlisten"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/internal/jsonframe"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/netdial"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "peering"

// JSON-RPC methods that the holder serves.
const (
	methodState   = "state"
	methodAdapter = "adapter"
)

const (
	dialTimeout = 500 * time.Millisecond
	// stateTimeout bounds an exchange of states. It covers several round trips; the
	// connection to a slower holder is closed.
	stateTimeout = 600 * time.Millisecond
	// timerSlack is how much earlier than stateInterval a state can be sent, because
	// the timer can fire early.
	timerSlack = 20 * time.Millisecond
	// adapterTimeout bounds a request for an adapter. It exceeds the time for which
	// the holder waits for the adapter.
	adapterTimeout = 900 * time.Millisecond
	// maxFrameBytes limits a message between instances. The largest one is the state
	// of a fleet of 5,400 replicas with the whole list of replicas.
	maxFrameBytes = 8 << 20
)

// adapterParams holds the parameters of methodAdapter.
type adapterParams struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// Service exchanges state with the holder and, on the holder, serves the other
// instances. It implements kernel.Service.
type Service struct {
	node     nodeconfig.Node
	log      *log.Logger
	control  *controlplane.Service
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	listener net.Listener
	group    *worker.Group
	wake     chan struct{}
	bad      atomic.Int64 // malformed frames
	// accepted limits the connections from other instances, unless it is nil.
	accepted *memorybudget.Group

	mu             sync.Mutex // guards the fields up to peerConns, which are not control state
	holder         string     // address of the holder; empty if it is this instance or none is known
	holderSequence uint64     // sequence of the last adopted change of the holder
	holderConn     *jsonrpc2.Conn
	deputy         string // address to which deputyConn leads
	deputyConn     *jsonrpc2.Conn
	peerConns      map[*jsonrpc2.Conn]bool

	// Time and destination of the last state that was sent, and the time between two
	// states. Only exchangeState uses these fields.
	lastSentAt    time.Time
	lastSentTo    string
	stateInterval time.Duration
}

// New returns a Service for node. It exchanges state once it has been started.
func New(node nodeconfig.Node, logger *log.Logger) *Service {
	return &Service{
		node: node, log: logger, dial: netdial.NewDialFunc(dialTimeout), group: worker.NewGroup(),
		wake: make(chan struct{}, 1), peerConns: make(map[*jsonrpc2.Conn]bool), stateInterval: controlplane.StateInterval,
	}
}

// LimitConnections makes the connections from other instances accounts of group. It must
// be called before Start.
func (s *Service) LimitConnections(group *memorybudget.Group) { s.accepted = group }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{controlplane.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.ServiceName); err != nil {
		return err
	}
	if s.listener, err = netdial.ListenConfig().Listen(ctx, "tcp", s.node.PeerAddress()); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.listener = boundedlisten.New(s.listener, s.accepted)
	s.group.Go(s.acceptPeers)
	s.group.Every(controlplane.StateInterval, s.wake, s.exchangeState)
	return errors.Join(
		worker.Subscribe(s.group, k.Bus(), "peering.holder", s.handleHolderChanged),
		worker.Subscribe(s.group, k.Bus(), "peering.adapter", s.requestAdapter),
		worker.Subscribe(s.group, k.Bus(), "peering.quota", s.requestQuota),
	)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.mu.Lock()
	s.setHolder("")
	s.closeDeputyConn()
	for c := range s.peerConns {
		_ = c.Close()
	}
	s.mu.Unlock()
	return errors.Join(err, s.group.Stop(ctx))
}

// codec returns the codec of a connection.
func (s *Service) codec() jsonframe.Codec {
	return jsonframe.Codec{
		MaxSentBytes: maxFrameBytes, MaxBytes: func() int64 { return maxFrameBytes }, OnMalformed: func() { s.bad.Add(1) },
	}
}

// codecOf returns the codec of a connection that was accepted. Its first frame must arrive
// within headlimits.Timeout: an instance connects when it has something to send.
func (s *Service) codecOf(raw net.Conn) jsonframe.Codec {
	codec := s.codec()
	_ = raw.SetReadDeadline(time.Now().Add(headlimits.Timeout))
	var first sync.Once
	codec.OnReceived = func() { first.Do(func() { _ = raw.SetReadDeadline(time.Time{}) }) }
	if c, ok := raw.(*boundedlisten.Conn); ok {
		codec.Memory = &memorybudget.Reservation{Account: c.Account()}
	}
	return codec
}

// MalformedFrames returns the number of frames that were malformed or too large since
// the service was created. The connection is closed after each of them.
func (s *Service) MalformedFrames() int64 { return s.bad.Load() }

// handleHolderChanged adopts a change of the holder and wakes exchangeState.
func (s *Service) handleHolderChanged(_ context.Context, e controlplane.HolderChanged) {
	s.adoptHolder(e)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// adoptHolder adopts a change of the holder unless a later one has been adopted.
func (s *Service) adoptHolder(e controlplane.HolderChanged) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Sequence < s.holderSequence {
		return
	}
	s.holderSequence = e.Sequence
	if e.Self {
		s.setHolder("")
	} else {
		s.setHolder(e.Address)
	}
}

// setHolder sets the address of the holder, and closes the connection to a different
// one. s.mu must be held.
func (s *Service) setHolder(address string) {
	if s.holder != address {
		s.closeHolderConn()
	}
	s.holder = address
}

// closeHolderConn closes the connection to the holder. s.mu must be held.
func (s *Service) closeHolderConn() {
	if s.holderConn != nil {
		_ = s.holderConn.Close()
		s.holderConn = nil
	}
}

// holderConnection returns the connection to the holder and opens it if needed. It
// returns nil if no other instance is known to be the holder.
func (s *Service) holderConnection(ctx context.Context) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	address, conn := s.holder, s.holderConn
	s.mu.Unlock()
	if conn != nil || address == "" {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to the holder of the order lease: %w", err)
	}
	conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, s.codec()), noRequests{}, jsonrpc2.SetLogger(s.log.StandardLog()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != address || s.holderConn != nil {
		_ = conn.Close()
		return s.holderConn, nil
	}
	s.holderConn = conn
	return conn, nil
}

// noRequests ignores requests. The holder sends none on this connection.
type noRequests struct{}

func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// callHolder calls a method of the holder. It returns false if no other instance is
// known to be the holder or the connection fails. A call that fails without an
// answer from the holder closes the connection.
func (s *Service) callHolder(ctx context.Context, timeout time.Duration, method string, params, result any) (bool, error) {
	conn, err := s.holderConnection(ctx)
	if err != nil || conn == nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = conn.Call(ctx, method, params, result)
	if err != nil && !isAnswer(err) {
		s.dropHolderConn(conn)
	}
	return true, err
}

// isAnswer reports whether an error is an answer of the holder.
func isAnswer(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered)
}

// dropHolderConn closes the connection to the holder if it is still the given one.
func (s *Service) dropHolderConn(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holderConn == conn {
		s.closeHolderConn()
	}
}

// exchangeState sends this instance's state to the holder and posts the answer to the
// control goroutine. It does nothing if no other instance is known to be the holder,
// or if the last state was sent to the same holder less than stateInterval ago.
func (s *Service) exchangeState(ctx context.Context) {
	s.mu.Lock()
	address := s.holder
	s.mu.Unlock()
	if address == "" || (address == s.lastSentTo && time.Since(s.lastSentAt) < s.stateInterval-timerSlack) {
		return
	}
	s.lastSentAt, s.lastSentTo = time.Now(), address
	own, err := s.control.OwnState(ctx)
	if err != nil {
		return // the instance is shutting down
	}
	var answer fleetMessage
	called, err := s.callHolder(ctx, stateTimeout, methodState, encodeState(own), &answer)
	if err != nil {
		s.log.Debug("state exchange with the holder failed", "address", address, "error", err)
		return
	}
	if called {
		fleet := decodeFleet(answer)
		s.stateInterval = fleet.Interval
		s.control.Post(controlplane.FleetSeen{State: fleet, SentAt: s.lastSentAt})
	}
}

// requestAdapter requests an adapter from the holder and posts the result.
func (s *Service) requestAdapter(ctx context.Context, e controlplane.RequestAdapter) {
	result := residency.AdapterResult{Replica: e.Replica, Model: e.Model, Adapter: e.Adapter}
	s.adoptHolder(e.Holder)
	called, err := s.callHolder(ctx, adapterTimeout, methodAdapter, adapterParams{e.Replica, e.Model, e.Adapter}, nil)
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

// acceptPeers serves connections from other instances until the listener is closed.
func (s *Service) acceptPeers(ctx context.Context) {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("connection from a peer could not be accepted", "error", err)
			select {
			case <-time.After(dialTimeout):
				continue
			case <-ctx.Done():
				return
			}
		}
		handler := newPeerHandler(jsonrpc2.HandlerWithError(s.handleRequest))
		conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(raw, s.codecOf(raw)), handler, jsonrpc2.SetLogger(s.log.StandardLog()))
		s.mu.Lock()
		s.peerConns[conn] = true
		s.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			s.mu.Lock()
			delete(s.peerConns, conn)
			s.mu.Unlock()
		}()
	}
}

// handleRequest serves one request from another instance.
func (s *Service) handleRequest(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	switch r.Method {
	case methodState:
		var message stateMessage
		if err := json.Unmarshal(*r.Params, &message); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		fleet, err := s.control.ServePeer(ctx, decodeState(message))
		if err != nil {
			return nil, err
		}
		return encodeFleet(fleet), nil
	case methodAdapter:
		var params adapterParams
		if err := json.Unmarshal(*r.Params, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return true, s.control.ServeAdapter(ctx, params.Replica, params.Model, params.Adapter)
	case methodQuota:
		var message quotaMessage
		if err := json.Unmarshal(*r.Params, &message); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		answer, err := s.control.ServeQuota(ctx, decodeQuota(message))
		if err != nil {
			return nil, err
		}
		return encodeGrant(answer), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}
