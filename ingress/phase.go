package ingress

import (
	"sync/atomic"

	"github.com/hyssophaven/hyssophaven/metrics"
)

// phase is what an open request waits for.
type phase uint8

const (
	phaseReading   phase = iota // the rest of the request
	phaseDeciding               // a decision of the control goroutine
	phaseWaiting                // its model or adapter
	phaseSent                   // the beginning of a replica's answer
	phaseAnswering              // the rest of a replica's answer
	phaseCount
)

var phaseNames = [phaseCount]string{"reading", "deciding", "waiting", "sent", "answering"}

// String returns the phase's name for logs and metrics.
func (p phase) String() string { return phaseNames[p] }

// openRequests counts the open requests of an instance by phase.
type openRequests [phaseCount]atomic.Int64

// export adds the counts to the metrics.
func (o *openRequests) export(m *metrics.Registry) {
	for p := range phaseCount {
		m.Func(`requests_open{phase="`+p.String()+`"}`, o[p].Load)
	}
}

// logFields returns the counts as alternating keys and values of a log line.
func (o *openRequests) logFields() []any {
	fields := make([]any, 0, 2*phaseCount)
	for p := range phaseCount {
		fields = append(fields, p.String(), o[p].Load())
	}
	return fields
}

// countOpen counts the request as open.
func (x *exchange) countOpen() {
	x.isOpen = true
	x.service.requests[x.phase].Add(1)
}

// enter moves the request to another phase.
func (x *exchange) enter(p phase) {
	if x.isOpen && p != x.phase {
		x.service.requests[x.phase].Add(-1)
		x.service.requests[p].Add(1)
	}
	x.phase = p
}

// countClosed ends the count of the request.
func (x *exchange) countClosed() {
	if x.isOpen {
		x.service.requests[x.phase].Add(-1)
		x.isOpen = false
	}
}
