// Package headlimits holds the bounds on what a client or a replica can send before its
// message is known: the bytes of a head and the time for it. They are the same at every
// listener of an instance, and hold for the heads of replicas' answers. Empty lines before a
// head count towards both. The limits of a config are lower and are checked for each
// request.
package headlimits

import (
	"log"
	"net/http"
	"time"
)

const (
	// MaxBytes limits a head.
	MaxBytes = 64 << 10
	// Timeout limits the time for a head, and for the first message of a peer.
	Timeout = 5 * time.Second
	// writeTimeout and idleTimeout are the limits of the other parts of a check.
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
)

// NewCheckServer returns the server of a listener for short requests without a body, such
// as readiness checks and reads of the metrics.
func NewCheckServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: Timeout, ReadTimeout: 2 * Timeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: MaxBytes, ErrorLog: errorLog,
	}
}
