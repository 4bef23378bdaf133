package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/suspect"
)

const (
	// defaultTimeout is the timeout of requests whose route sets none.
	defaultTimeout = 60 * time.Second
	// bodyTimeout limits the time to read a body. Callers send the body immediately
	// after the head, but a lossy link needs a few retransmissions.
	bodyTimeout = 10 * time.Second
	// maxDrainBytes and drainTimeout limit how much of a body that is too large is read
	// before the refusal. drainTimeout also limits the reads after the refusal of a body.
	maxDrainBytes = 1 << 20
	drainTimeout  = time.Second
	// keysRejectedMetric counts requests without the key of a customer.
	keysRejectedMetric = "keys_rejected"
	// noConfigRetry is the time after which a caller should retry at an instance
	// that has no config yet.
	noConfigRetry = 500 * time.Millisecond
)

// serve handles one request of a caller.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	snapshot := s.control.Snapshot()
	config := snapshot.Config
	x := &exchange{service: s, w: w, r: r, head: RequestHead{ID: s.protocol.RequestID(r)}, arrived: arrived}
	x.memory.Account = accountOf(r.Context())
	defer x.memory.Release()
	x.limitBodyTime()
	x.setConnectionHeaders()
	x.countOpen()
	defer x.countClosed()
	if config == nil {
		x.refuse(http.StatusServiceUnavailable, "no-config", noConfigRetry)
		return
	}
	if limit := snapshot.Limits.MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		closeConnection(w.Header())
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, "head-too-large", 0)
		return
	}
	var err error
	if x.head, err = s.protocol.ReadRequest(r); err != nil {
		x.refuse(http.StatusBadRequest, "malformed-head", 0)
		return
	}
	target, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = config.FindRoute(r.Host, target)
	if s.refusing.Load() && (x.route == nil || x.route.Kind == catalog.Stream) {
		closeConnection(w.Header())
		x.refuse(http.StatusServiceUnavailable, string(dispatch.CauseStopping), dispatch.StoppingRetryAfter)
		return
	}
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no-route", 0)
		return
	}
	if x.byCustomer = config.HasCustomers(); x.byCustomer && !x.route.Public {
		if x.customer = config.FindCustomer(x.head.Key); x.customer == nil {
			s.metrics.Counter(keysRejectedMetric).Add(1)
			x.refuse(http.StatusUnauthorized, "unknown-key", 0)
			return
		}
	}
	if !x.readBody(snapshot.Limits) || !x.protect() {
		return
	}
	x.request = x.newRequest()
	x.run()
}

// headBytes returns the size of a request's head as it was sent, apart from optional
// spaces.
func headBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// limitBodyTime limits the time to read the body. The server reads on after a refusal, so
// the limit holds for refused requests too.
func (x *exchange) limitBodyTime() {
	if x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(x.arrived.Add(bodyTimeout))
	}
}

// protect keeps the connection from being closed for its memory, because the request can be
// sent now. If it was to be closed before, it refuses the request and returns false.
func (x *exchange) protect() bool {
	if x.memory.Account.Protect() {
		return true
	}
	closeConnection(x.w.Header())
	x.refuse(http.StatusServiceUnavailable, causeNoRoom, noRoomRetry)
	return false
}

// readBody reads the whole body. If that fails, it answers the caller and returns
// false.
func (x *exchange) readBody(limits catalog.Limits) bool {
	if limits.MaxBodyBytes > 0 && x.r.ContentLength > limits.MaxBodyBytes {
		// Closing a connection with unread bytes resets it, and the caller might never
		// see the answer.
		_ = http.NewResponseController(x.w).SetReadDeadline(x.arrived.Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, x.r.Body, maxDrainBytes)
		closeConnection(x.w.Header())
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	reader := io.Reader(x.r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(x.w, x.r.Body, limits.MaxBodyBytes)
	}
	var err error
	x.body, x.bodyRest, err = heldbytes.ReadPieces(reader, x.r.ContentLength, &x.memory)
	rc := http.NewResponseController(x.w)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return true
	}
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	x.body, x.bodyRest = nil, nil
	x.memory.Release()
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) { // after a body that is too large, MaxBytesReader closes the connection
		closeConnection(x.w.Header())
	}
	switch {
	case errors.Is(err, heldbytes.ErrNoRoom) || x.memory.Account.Evicted():
		x.refuse(http.StatusServiceUnavailable, causeNoRoom, noRoomRetry)
	case tooLarge != nil:
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, "body-too-slow", 0)
	default:
		x.refuse(http.StatusBadRequest, "body-broken", 0)
	}
	return false
}

// newRequest describes the request for the control goroutine.
func (x *exchange) newRequest() *dispatch.Request {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.head.TimeLeft > 0 {
		timeout = min(timeout, x.head.TimeLeft)
	}
	return &dispatch.Request{
		ID: x.head.ID, Route: x.route, Service: x.route.PickService(x.head.ID), Customer: x.customer, Model: x.head.Model, Adapter: x.head.Adapter,
		PromptTokens: x.head.PromptTokens, OutputTokens: x.head.OutputTokens, Parts: x.promptParts(), SharedParts: x.sharedParts(),
		Fingerprint: x.fingerprint(), Arrived: x.arrived, Deadline: x.arrived.Add(timeout),
	}
}

// maxCachedParts limits the parts of a prompt that are matched with cached prefixes. They
// are only a hint: a request with more of them is served as if it had none.
const maxCachedParts = 64

// promptParts returns the parts of the prompt for prefix matching. The key of a part
// covers the model, the adapter and all parts before it.
func (x *exchange) promptParts() []dispatch.Part {
	if len(x.head.Parts) == 0 || len(x.head.Parts) > maxCachedParts {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(x.head.Model + "/" + x.head.Adapter) // the hash never returns an error
	out := make([]dispatch.Part, len(x.head.Parts))
	for i, p := range x.head.Parts {
		_, _ = h.WriteString("," + p.ID)
		out[i] = dispatch.Part{Key: h.Sum64(), Tokens: p.Tokens}
	}
	return out
}

// sharedParts returns all parts of the prompt but the last, which belongs to the request
// itself or its session.
func (x *exchange) sharedParts() []suspect.Part {
	if len(x.head.Parts) < 2 {
		return nil
	}
	out := make([]suspect.Part, len(x.head.Parts)-1)
	for i := range out {
		out[i] = suspect.Part(xxhash.Sum64String(x.head.Parts[i].ID))
	}
	return out
}

// fingerprint returns a hash of the request line, host, model, prompt parts and body.
func (x *exchange) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(x.r.Method + " " + x.r.Host + x.r.RequestURI + " " + x.head.Model)
	for _, p := range x.head.Parts {
		_, _ = h.WriteString("," + p.ID)
	}
	_, _ = h.Write(x.body)
	for _, piece := range x.bodyRest {
		_, _ = h.Write(piece)
	}
	return h.Sum64()
}
