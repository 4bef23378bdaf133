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

// Authentication is a challenge and response in both directions. The caller
// sends its instance and a nonce (hello); the listener answers with its own
// and with a proof over everything so far; the caller sends its proof
// (hello.proof). Over TLS the proofs also cover a value that is unique to the
// TLS session, so that they can't be passed on to another one.

// protocolVersion changes with every incompatible change of the messages.
const protocolVersion = 1

const (
	methodHello       = "hello"
	methodHelloProof  = "hello.proof"
	methodHeartbeat   = "heartbeat"
	methodSuspect     = "suspect"
	methodSnapshot    = "table.snapshot"
	methodClaimStatus = "claim.status"
)

const nonceSize = 16

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

// transcript is what both sides know after hello.
type transcript struct {
	callerNonce, listenerNonce []byte
	caller, listener           wireInstance
	binding                    []byte // of the TLS session; nil without TLS
}

// proof returns the proof of the side with the given role.
func (t transcript) proof(secret []byte, role string) ([]byte, error) {
	mac := hmac.New(sha256.New, secret)
	caller, err := json.Marshal(t.caller)
	if err != nil {
		return nil, err
	}
	listener, err := json.Marshal(t.listener)
	if err != nil {
		return nil, err
	}
	for _, part := range [][]byte{[]byte("hyssophaven peer"), []byte(role), t.callerNonce, t.listenerNonce, caller, listener, t.binding} {
		mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil), nil
}

// check reports whether proof is that of the side with the given role.
func (t transcript) check(secret []byte, role string, proof []byte) error {
	want, err := t.proof(secret, role)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, proof) {
		return ErrAuthentication
	}
	return nil
}

const (
	roleCaller   = "caller"
	roleListener = "listener"
)

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceSize)
	_, err := rand.Read(nonce)
	return nonce, err
}

// checkHello checks the first message of a caller.
func checkHello(p helloParams) (fleet.Instance, error) {
	switch {
	case p.Version != protocolVersion:
		return fleet.Instance{}, fmt.Errorf("peer protocol version %d is not supported: want %d", p.Version, protocolVersion)
	case len(p.Nonce) != nonceSize:
		return fleet.Instance{}, fmt.Errorf("nonce has %d bytes: want %d", len(p.Nonce), nonceSize)
	case p.Instance.ID == "" || p.Instance.Incarnation == 0:
		return fleet.Instance{}, fmt.Errorf("instance id and incarnation must be set")
	}
	return instanceFromWire(p.Instance), nil
}

// sessionBinding returns a value that is unique to the TLS session of conn.
func sessionBinding(conn net.Conn) ([]byte, error) {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	state := t.ConnectionState()
	return state.ExportKeyingMaterial("EXPORTER-hyssophaven-peer", nil, 32)
}
