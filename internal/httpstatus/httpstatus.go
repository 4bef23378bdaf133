// Package httpstatus tells which status codes an answer can have. Package net/http also
// passes on codes that HTTP does not have.
package httpstatus

// IsFinal reports whether a status can be that of the final answer to a request that asked
// for no switch of the protocol.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// IsError reports whether a status is one with which an HTTP server refuses a request or
// says that it failed.
func IsError(status int) bool { return status >= 400 && status <= 599 }
