// Package gossip connects the control goroutine with package peer, which carries
// messages between instances. Receiver posts heartbeats and notices from peers
// to the control goroutine and answers their requests; Sender sends the
// heartbeats and notices that the control goroutine decides on. They are two
// services because the peer service is started after Receiver and before
// Sender. Package membership decides who receives heartbeats.
package gossip

import (
	"context"
	"errors"
	"sync"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/peer"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

// Names of the services on the kernel.
const (
	ReceiverName = "gossip.receiver"
	SenderName   = "gossip.sender"
)

// errNoTable is the answer to a peer while this instance has adopted no table.
var errNoTable = errors.New("gossip: no table is in force here yet")

// Control is the part of the service "control" that the services use.
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// Receiver handles the messages of peers. It implements kernel.Service and
// peer.Handler.
type Receiver struct {
	control Control

	mu              sync.Mutex
	encodedSnapshot peer.Snapshot // cached table, as of the newest request
}

// NewReceiver returns a receiver that is not started yet.
func NewReceiver() *Receiver { return &Receiver{} }

// Name implements kernel.Service.
func (r *Receiver) Name() string { return ReceiverName }

// Requires implements kernel.Service.
func (r *Receiver) Requires() []string { return []string{control.ServiceName} }

// Start implements kernel.Service.
func (r *Receiver) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	r.control, err = kernel.Lookup[Control](k, control.ServiceName)
	return err
}

// Stop implements kernel.Service.
func (r *Receiver) Stop(context.Context) error { return nil }

// HandleHeartbeat implements peer.Handler.
func (r *Receiver) HandleHeartbeat(h membership.Heartbeat) {
	r.control.Post(control.HeartbeatReceived{Heartbeat: h})
}

// HandleNotices implements peer.Handler.
func (r *Receiver) HandleNotices(from fleet.Instance, notices []quarantine.Notice) {
	r.control.Post(control.NoticesReceived{From: from.ID, Notices: notices})
}

// EncodedTable implements peer.Handler.
func (r *Receiver) EncodedTable(context.Context) (peer.Snapshot, error) {
	t := r.control.Snapshot().Table
	if t == nil {
		return peer.Snapshot{}, errNoTable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.encodedSnapshot.Revision != t.Revision {
		data, err := tablecodec.EncodeSnapshot(t)
		if err != nil {
			return peer.Snapshot{}, err
		}
		r.encodedSnapshot = peer.Snapshot{Revision: t.Revision, Data: data}
	}
	return r.encodedSnapshot, nil
}

// ClaimStatus implements peer.Handler. It knows no claims, because a claim's
// status follows from its record in the store alone.
func (r *Receiver) ClaimStatus(context.Context, string) (peer.ClaimStatus, error) {
	return peer.ClaimNotInProgress, nil
}

// Sender sends heartbeats and notices to peers. It implements kernel.Service.
type Sender struct {
	control Control
	network peer.Network
}

// NewSender returns a sender that is not started yet.
func NewSender() *Sender { return &Sender{} }

// Name implements kernel.Service.
func (s *Sender) Name() string { return SenderName }

// Requires implements kernel.Service.
func (s *Sender) Requires() []string { return []string{control.ServiceName, peer.ServiceName} }

// Start implements kernel.Service.
func (s *Sender) Start(_ context.Context, k *kernel.Kernel) error {
	var errs [2]error
	s.control, errs[0] = kernel.Lookup[Control](k, control.ServiceName)
	s.network, errs[1] = kernel.Lookup[peer.Network](k, peer.ServiceName)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	return errors.Join(
		kernel.Subscribe(k.Bus(), "gossip.heartbeat", s.sendHeartbeat),
		kernel.Subscribe(k.Bus(), "gossip.notices", s.sendNotices),
	)
}

// Stop implements kernel.Service.
func (s *Sender) Stop(context.Context) error { return nil }

// sendHeartbeat queues the heartbeat for each target. It does not block.
func (s *Sender) sendHeartbeat(ctx context.Context, a membership.SendHeartbeat) {
	for _, to := range a.To {
		s.network.SendHeartbeat(ctx, to.PeerAddress, a.Heartbeat)
	}
}

// sendNotices queues the notices for all other known instances. It does not block.
func (s *Sender) sendNotices(ctx context.Context, a quarantine.NotifyPeers) {
	for _, address := range s.control.Snapshot().PeerAddresses {
		s.network.SendNotices(ctx, address, a.Notices)
	}
}
