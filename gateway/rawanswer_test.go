package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// newRawGateway returns a gateway with one plain service, which answers with raw bytes.
// taken counts the bytes that the gateway reads from its connections.
func newRawGateway(t *testing.T, answer func(c net.Conn, n int64)) (r *testGateway, taken *atomic.Int64) {
	return newRawGatewayBefore(t, rawservertest.Start(t, answer))
}

// newRawGatewayBefore is newRawGateway with the given server as the service.
func newRawGatewayBefore(t *testing.T, server *rawservertest.Server) (r *testGateway, taken *atomic.Int64) {
	taken = new(atomic.Int64)
	r = newTestGateway(t, func(c *Config) { c.Limits.MaxAnswerBytes = 1 << 20 })
	r.services.(*stricthttp.Transport).SetDial(rawservertest.CountingDial(taken))
	r.control.endpoints = append(r.control.endpoints, fleet.Endpoint{ID: "raw", Pool: "desk", Address: server.Address})
	return r, taken
}

// Guards against an instance that runs out of memory because a plain service sends a
// head or a body without end.
func TestEndlessServiceAnswerIsCutOff(t *testing.T) {
	for name, start := range map[string]string{
		"head":   "HTTP/1.1 200 OK\r\nX-A: ",
		"body":   "HTTP/1.1 200 OK\r\n\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, taken := newRawGateway(t, func(c net.Conn, _ int64) {
				_ = rawservertest.WriteEndlessly(c, start, bytes.Repeat([]byte("a"), 64<<10))
				_ = c.Close()
			})
			a := r.call("POST", "/services/booking/x", "", HeaderIdempotencyKey, "key")
			r.is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable)
			r.is.True(taken.Load() < 2<<20)
		})
	}
}

// Guards against a call without an answer, one whose answer has a status that HTTP does not
// have, and one that is said not to have run, after an answer of a service with such a status
// or without its whole head or body.
func TestMalformedAnswerOfServiceIsNotRelayed(t *testing.T) {
	for _, malformed := range rawservertest.MalformedAnswers("ok") {
		t.Run(malformed.Name, func(t *testing.T) {
			r, _ := newRawGateway(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, malformed.Render(""))
				_ = c.Close()
			})
			a := r.call("POST", "/services/booking/x", "", HeaderIdempotencyKey, "key")
			r.is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable)
			r.is.Equal(a.executed, "unknown")
		})
	}
}

// Guards against an answer of a service with a malformed line that is relayed, or of which any
// line is, and against a call that is said not to have run after it.
func TestServiceAnswerWithMalformedLineIsNotRelayed(t *testing.T) {
	for _, malformed := range rawservertest.MalformedLines("200 OK", "ok") {
		t.Run(malformed.Name, func(t *testing.T) {
			r, _ := newRawGateway(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, malformed.Render(""))
				_ = c.Close()
			})
			a := r.call("POST", "/services/booking/bookings", "", HeaderIdempotencyKey, "key") // is sent once
			r.is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable)
			r.is.Equal(a.executed, "unknown")
			r.is.True(!strings.Contains(fmt.Sprint(a.header, a.body), rawservertest.MalformedValue))
		})
	}
}

// Guards against the part of an answer that reaches the caller of a plain service as the whole
// one, because the service reset the connection while the request was being written.
func TestServiceAnswerResetDuringUploadIsAFailure(t *testing.T) {
	r, _ := newRawGatewayBefore(t, rawservertest.StartEarly(t, func(c net.Conn, _ int64) {
		rawservertest.AnswerAndReset(c, "HTTP/1.1 200 OK\r\n\r\npart")
	}))
	upload := strings.Repeat("b", 4<<20)
	for n := range 300 { // net/http reads one in ten to twenty answers to its end
		a := r.call("POST", "/services/booking/bookings", upload, HeaderIdempotencyKey, fmt.Sprint("key-", n))
		r.is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable)
		r.is.Equal(a.executed, "unknown")
	}
}

// Guards against an answer with a status that HTTP does not have, and without a length, that is
// relayed while the request is still being written.
func TestMalformedStatusDuringUploadIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		t.Run(status, func(t *testing.T) {
			r, _ := newRawGatewayBefore(t, rawservertest.StartEarly(t, func(c net.Conn, _ int64) {
				rawservertest.AnswerAndHalfClose(c, "HTTP/1.1 "+status+" OK\r\n\r\nwhole")
				_, _ = io.Copy(io.Discard, c)
			}))
			a := r.call("POST", "/services/booking/bookings", strings.Repeat("b", 4<<20), HeaderIdempotencyKey, "key")
			r.is.True(a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable)
			r.is.Equal(a.executed, "unknown")
		})
	}
}

// Guards against a part of a service's answer that is relayed, alone or before the answer of
// another endpoint, after it has broken off or has been cut off.
func TestPartOfServiceAnswerIsNotRelayed(t *testing.T) {
	const partBytes = 600 << 10
	part := strings.Repeat("f", partBytes)
	for name, end := range map[string]func(c net.Conn, head string){
		"breaks off in chunks": func(c net.Conn, head string) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, partBytes, part)
		},
		"lacks a byte of its length": func(c net.Conn, head string) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, partBytes+1, part)
		},
		"is reset, without a length": func(c net.Conn, head string) {
			_, _ = io.WriteString(c, head+"\r\n"+part)
			_ = rawservertest.Reset(c)
		},
		"never ends": func(c net.Conn, head string) { _ = rawservertest.WriteEndlessly(c, head+"\r\n", []byte(part)) },
	} {
		for _, status := range []string{"200", "404", "500"} {
			t.Run(name+", "+status, func(t *testing.T) {
				r, _ := newRawGateway(t, func(c net.Conn, _ int64) {
					end(c, "HTTP/1.1 "+status+" Answer\r\n")
					_ = c.Close()
				})
				sound := rawservertest.Start(t, func(c net.Conn, _ int64) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				})
				r.control.endpoints = append(r.control.endpoints, fleet.Endpoint{ID: "sound", Pool: "desk", Address: sound.Address})
				a := r.call("GET", "/services/booking/x", "") // may be repeated
				if name == "never ends" {
					r.is.True(a.status >= 500) // too large an answer is not asked for again
					r.is.True(!strings.Contains(a.body, "fff"))
					return
				}
				r.is.Equal(a.status, http.StatusOK)
				r.is.Equal(a.body, "ok")
			})
		}
	}
}
