package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Both sides authenticate by challenge and response. The side that connects, the
// dialer, sends its instance and a nonce (hello). The listener replies with its
// own instance and nonce and a proof, which is an HMAC over all of these; the
// dialer then sends its proof (hello.proof). With TLS, the proofs also cover a
// value that is unique to the TLS session, so that a proof can't be relayed to
// another session.

// protocolVersion is incremented with every incompatible change of the messages.
const protocolVersion = 1

const (
	methodHello       = "hello"
	methodHelloProof  = "hello.proof"
	methodHeartbeat   = "heartbeat"
	methodSuspect     = "suspect"
	methodSnapshot    = "table.snapshot"
	methodClaimStatus = "claim.status"
)

const nonceBytes = 16

type helloParams struct {
	Version  int          `json:"v"`
	Nonce    []byte       `json:"n"`
	Instance wireInstance `json:"i"`
}

type helloResult struct {
	Nonce    []byte       `json:"n"`
	Instance wireInstance `json:"i"`
	Proof    []byte       `json:"p"`
}

type proofParams struct {
	Proof []byte `json:"p"`
}

// transcript holds the data that the proofs of a connection cover.
type transcript struct {
	dialerNonce, listenerNonce []byte
	dialer, listener           wireInstance
	tlsBinding                 []byte // unique to the TLS session; nil without TLS
}

// proof returns the HMAC that the side with the given role sends.
func (t transcript) proof(secret []byte, role string) ([]byte, error) {
	mac := hmac.New(sha256.New, secret)
	dialer, err := json.Marshal(t.dialer)
	if err != nil {
		return nil, err
	}
	listener, err := json.Marshal(t.listener)
	if err != nil {
		return nil, err
	}
	for _, part := range [][]byte{[]byte("hyssophaven peer"), []byte(role), t.dialerNonce, t.listenerNonce, dialer, listener, t.tlsBinding} {
		mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil), nil
}

// verify returns ErrAuthentication unless proof is the one that the side with the
// given role must send.
func (t transcript) verify(secret []byte, role string, proof []byte) error {
	expected, err := t.proof(secret, role)
	if err != nil {
		return err
	}
	if !hmac.Equal(expected, proof) {
		return ErrAuthentication
	}
	return nil
}

const (
	roleDialer   = "caller" // name in the protocol
	roleListener = "listener"
)

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	_, err := rand.Read(nonce)
	return nonce, err
}

// checkHello validates the params of a hello and returns the dialer's instance.
func checkHello(p helloParams) (fleet.Instance, error) {
	switch {
	case p.Version != protocolVersion:
		return fleet.Instance{}, fmt.Errorf("peer protocol version %d is not supported: want %d", p.Version, protocolVersion)
	case len(p.Nonce) != nonceBytes:
		return fleet.Instance{}, fmt.Errorf("nonce has %d bytes: want %d", len(p.Nonce), nonceBytes)
	case p.Instance.ID == "" || p.Instance.Incarnation == 0:
		return fleet.Instance{}, fmt.Errorf("instance id and incarnation must be set")
	}
	return instanceFromWire(p.Instance), nil
}

// tlsSessionBinding returns a value that is unique to the TLS session of conn, or
// nil without TLS.
func tlsSessionBinding(conn net.Conn) ([]byte, error) {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	state := t.ConnectionState()
	return state.ExportKeyingMaterial("EXPORTER-hyssophaven-peer", nil, 32)
}
