package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// BenchmarkRelay measures requests over one kept connection through an instance in the
// benchmark's process, with a memory limit. The figures include the caller and the
// stand-in for the replica.
func BenchmarkRelay(b *testing.B) {
	d := newDeploymentOn(b, platformtest.NewBackends())
	d.memory = 1 << 30
	d.addInstance()
	for _, bench := range []struct{ name, request string }{
		{"Plain", "GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\n\r\n"},
		{"Body", "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000)},
		{"Stream", "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Model: m1\r\n" +
			"X-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: aa:40,bb:60\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("p", 1000)},
	} {
		b.Run(bench.name, func(b *testing.B) {
			for _, r := range d.Engines {
				r.SetEventGap(0)
			}
			conn, err := net.Dial("tcp", d.nodes[0].Callers)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				if _, err := fmt.Fprintf(conn, bench.request, fmt.Sprintf("%s-%d-%d", bench.name, b.N, n)); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp.StatusCode, err)
				}
				resp.Body.Close()
			}
		})
	}
}
