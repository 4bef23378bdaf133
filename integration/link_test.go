//go:build linux

package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// link is a fault-injecting proxy in front of a listener.
type link struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

func newLink(t *testing.T, name, upstream string) *link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &link{t: t, proxy: toxiproxy.NewProxy(server, name, freeAddress(t), upstream)}
	l.restore()
	t.Cleanup(l.proxy.Stop)
	return l
}

// address returns the listen address of the proxy.
func (l *link) address() string { return l.proxy.Listen }

// cut closes all connections and refuses new ones until restore.
func (l *link) cut() { l.proxy.Stop() }

// restore ends a cut. It retries because a process that was forked during the cut
// keeps a copy of the old listener open until it calls exec.
func (l *link) restore() {
	l.t.Helper()
	waitNoError(l.t, "proxy "+l.proxy.Name+" to listen", l.proxy.Start)
}

// flap closes all connections and then accepts new ones.
func (l *link) flap() {
	l.t.Helper()
	l.cut()
	l.restore()
}

// The names that toxiproxy gives to the two directions of a link.
const (
	requestDirection = "upstream"
	answerDirection  = "downstream"
)

// delay adds latency to the data in one direction.
func (l *link) delay(direction string, d time.Duration) {
	l.addToxic("latency", direction, fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
}

// dropData discards the data in one direction and keeps the connections open.
func (l *link) dropData(direction string) { l.addToxic("timeout", direction, `{"timeout":0}`) }

func (l *link) addToxic(kind, direction, attributes string) {
	l.t.Helper()
	text := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, direction, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.t.Fatalf("proxy %s: %v", l.proxy.Name, err)
	}
}

// clearToxics ends delay and dropData. Connections that lost data are closed.
func (l *link) clearToxics() { l.proxy.Toxics.ResetToxics(context.Background()) }
