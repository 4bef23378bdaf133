package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// Limits bounds the memory and time that one caller or endpoint can take from an
// instance. A zero field selects its default.
type Limits struct {
	MaxBodyBytes       int64         // size of a request body; default 8 MiB
	MaxHeaderBytes     int           // size of a request header; default 64 KiB
	MaxAnswerBytes     int64         // size of an endpoint's complete answer; default 8 MiB
	HeaderTimeout      time.Duration // time to read a request header; default 5 s
	BodyTimeout        time.Duration // time to read a request body; default 30 s
	WriteTimeout       time.Duration // time for one write to a caller; default 10 s
	IdleTimeout        time.Duration // time between two requests on a connection; default 2 min
	EngineStallTimeout time.Duration // time without a chunk from an engine; default 60 s
	ServiceTimeout     time.Duration // time for a plain service's complete answer; default 60 s
	StoreTimeout       time.Duration // time for one call to a backing store; default 2 s
	AdapterLoadTimeout time.Duration // time for one adapter load order; default 10 s
	SnapshotTimeout    time.Duration // time to wait for a newer snapshot after a refused load order; default 2 s
	MaxAttempts        int           // attempts for one request; default 8
	MaxAdapterLoads    int           // adapter loads in progress in the whole fleet; default 90
}

func (l Limits) withDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, headlimits.MaxBytes)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, 8<<20)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, headlimits.Timeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 30*time.Second)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, 10*time.Second)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, 2*time.Minute)
	l.EngineStallTimeout = cmp.Or(l.EngineStallTimeout, time.Minute)
	l.ServiceTimeout = cmp.Or(l.ServiceTimeout, time.Minute)
	l.StoreTimeout = cmp.Or(l.StoreTimeout, 2*time.Second)
	l.AdapterLoadTimeout = cmp.Or(l.AdapterLoadTimeout, 10*time.Second)
	l.SnapshotTimeout = cmp.Or(l.SnapshotTimeout, 2*time.Second)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 8)
	l.MaxAdapterLoads = cmp.Or(l.MaxAdapterLoads, 90)
	return l
}

// connectTimeout limits connecting to a plain service, which is in the same region.
const connectTimeout = 2 * time.Second

// newTransport returns the default transport for requests to plain services.
func newTransport(l Limits) *stricthttp.Transport {
	d := net.Dialer{Timeout: connectTimeout}
	return stricthttp.NewTransport(&http.Transport{
		DialContext:         d.DialContext,
		DisableCompression:  true, // answers are relayed unchanged
		MaxIdleConnsPerHost: 64,
		// Below the idle timeout of common servers, so that a server rarely closes a
		// connection just as a request is sent on it.
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: int64(l.MaxHeaderBytes),
	})
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
