package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"
)

// Limits bound what one caller or endpoint can make an instance do. Zero
// fields mean the default.
type Limits struct {
	MaxBodyBytes   int64         // request body; default 8 MiB
	MaxHeaderBytes int           // request header; default 64 KiB
	MaxAnswerBytes int64         // whole answer of an endpoint; default 8 MiB
	HeaderTimeout  time.Duration // reading a request header; default 5 s
	BodyTimeout    time.Duration // reading a request body; default 30 s
	WriteTimeout   time.Duration // a caller taking one chunk; default 10 s
	IdleTimeout    time.Duration // a connection between requests; default 2 min
	EngineStall    time.Duration // an engine between two chunks; default 60 s
	ServiceTimeout time.Duration // a plain service's whole answer; default 60 s
	StoreTimeout   time.Duration // one call of the platform's stores; default 2 s
	LoadTimeout    time.Duration // one adapter load order; default 10 s
	SnapshotWait   time.Duration // waiting for a newer snapshot after a refused load order; default 2 s
	MaxAttempts    int           // endpoints tried for one request; default 8
	AdapterLoads   int           // adapter loads in transit over the whole fleet; default 90
}

func (l Limits) withDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, 64<<10)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, 8<<20)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, 5*time.Second)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 30*time.Second)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, 10*time.Second)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, 2*time.Minute)
	l.EngineStall = cmp.Or(l.EngineStall, time.Minute)
	l.ServiceTimeout = cmp.Or(l.ServiceTimeout, time.Minute)
	l.StoreTimeout = cmp.Or(l.StoreTimeout, 2*time.Second)
	l.LoadTimeout = cmp.Or(l.LoadTimeout, 10*time.Second)
	l.SnapshotWait = cmp.Or(l.SnapshotWait, 2*time.Second)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 8)
	l.AdapterLoads = cmp.Or(l.AdapterLoads, 90)
	return l
}

// connectTimeout bounds connecting to a plain service in the same region.
const connectTimeout = 2 * time.Second

// newTransport returns the default transport to plain services.
func newTransport(l Limits) *http.Transport {
	d := net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true, // answers are relayed as they are
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second, // below the idle timeout of common servers, so idle connections are rarely closed under a request
		MaxResponseHeaderBytes: int64(l.MaxHeaderBytes),
	}
}

// sleep waits for d and reports false if ctx ended first.
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
