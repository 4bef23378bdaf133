package settings

import (
	"cmp"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

const (
	minSecretBytes = 16
	maxShards      = 4096
)

// checker adds findings about the values of decoded settings.
type checker struct {
	file     string
	sections map[string]tomlfile.Section
	problems *finding.List
}

func (c checker) problemf(path, key, format string, args ...any) {
	s, ok := c.sections[path]
	if !ok {
		s = tomlfile.Section{File: c.file, Path: path}
	}
	s.Problemf(c.problems, key, format, args...)
}

func (c checker) check(s *Settings) {
	c.required("instance", "id", s.Instance.ID)
	c.required("instance", "data_centre", s.Instance.DataCentre)
	c.addresses(s)
	c.platform(&s.Platform)
	c.secret("operators", "token", &s.Operators.Token, s.Operators.TokenFile, !s.TLS.Operators.clientAuth())
	c.secret("peers", "secret", &s.Peers.Secret, s.Peers.SecretFile, true)
	c.durations(s)
	c.numbers(s)
	c.oneOf("admission", "policy", s.Admission.Policy, "rank", "round-robin", "least-loaded")
	c.oneOf("admission", "placement", s.Admission.Placement, "adaptive", "static", "greedy")
	c.oneOf("log", "level", s.Log.Level, "debug", "info", "warn", "error")
	c.certificate("tls.callers", s.TLS.Callers)
	c.certificate("tls.operators", s.TLS.Operators)
	c.certificate("tls.peers", s.TLS.Peers)
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
}

func (c Certificate) clientAuth() bool { return c.Enabled() && c.ClientCAFile != "" }

func (c checker) required(path, key, value string) {
	if value == "" {
		c.problemf(path, key, "must be set")
	}
}

func (c checker) oneOf(path, key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.problemf(path, key, "is %q; must be one of %s", value, strings.Join(allowed, ", "))
	}
}

// addresses checks the listeners' addresses and that no two of them overlap.
func (c checker) addresses(s *Settings) {
	type listener struct{ path, value, host, port string }
	var seen []listener
	for _, l := range []listener{{path: "callers", value: s.Callers.Listen}, {path: "operators", value: s.Operators.Listen}, {path: "peers", value: s.Peers.Listen}} {
		if l.value == "" {
			c.problemf(l.path, "listen", "must be set to an address, such as \"10.0.0.5:8080\"")
			continue
		}
		var ok bool
		if l.host, l.port, ok = c.hostPort(l.path, "listen", l.value); !ok {
			continue
		}
		for _, other := range seen {
			if l.port == other.port && l.port != "0" && overlap(l.host, other.host) {
				c.problemf(l.path, "listen", "%q overlaps with %s.listen %q", l.value, other.path, other.value)
			}
		}
		seen = append(seen, l)
	}
	if s.Peers.Advertise != "" {
		if host, _, ok := c.hostPort("peers", "advertise", s.Peers.Advertise); ok && unspecified(host) {
			c.problemf("peers", "advertise", "%q is not an address that peers can connect to", s.Peers.Advertise)
		}
	} else if host, _, err := net.SplitHostPort(s.Peers.Listen); err == nil && unspecified(host) {
		c.problemf("peers", "advertise", "must be set, because peers.listen %q is not an address that peers can connect to", s.Peers.Listen)
	}
}

func (c checker) hostPort(path, key, value string) (host, port string, ok bool) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.problemf(path, key, "%q is not an address of the form IP:port", value)
		return "", "", false
	}
	if host != "" && net.ParseIP(host) == nil {
		c.problemf(path, key, "%q does not begin with an IP number", value)
		return "", "", false
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		c.problemf(path, key, "%q does not end with a port number", value)
		return "", "", false
	}
	return host, port, true
}

func unspecified(host string) bool { return host == "" || net.ParseIP(host).IsUnspecified() }

func overlap(a, b string) bool {
	return unspecified(a) || unspecified(b) || net.ParseIP(a).Equal(net.ParseIP(b))
}

func (c checker) platform(p *Platform) {
	if p.Address == "" {
		c.problemf("platform", "address", "must be set to an address, such as \"10.0.0.2:9000\"")
	} else {
		c.hostPort("platform", "address", p.Address)
	}
	c.secret("platform", "token", &p.Token, p.TokenFile, false)
}

// secret reads the value from its file if one is named.
func (c checker) secret(path, key string, value *string, file string, mandatory bool) {
	fileKey := key + "_file"
	switch {
	case *value != "" && file != "":
		c.problemf(path, key, "set either %s or %s, not both", key, fileKey)
		return
	case file != "":
		data, err := os.ReadFile(file)
		if err != nil {
			c.problemf(path, fileKey, "%v", err)
			return
		}
		*value = strings.TrimSpace(string(data))
		key = fileKey
	case *value == "" && mandatory:
		c.problemf(path, key, "must be set, here or through %s", fileKey)
		return
	}
	if *value != "" && len(*value) < minSecretBytes {
		c.problemf(path, key, "must have at least %d characters", minSecretBytes)
	}
}

func (c checker) durations(s *Settings) {
	for _, d := range []struct {
		path, key string
		value     tomlfile.Duration
		low, high time.Duration
	}{
		{"instance", "balancer_wait", s.Instance.BalancerWait, 0, 10 * time.Minute},
		{"callers", "read_timeout", s.Callers.ReadTimeout, 100 * time.Millisecond, time.Hour},
		{"callers", "write_timeout", s.Callers.WriteTimeout, 100 * time.Millisecond, time.Hour},
		{"callers", "idle_timeout", s.Callers.IdleTimeout, time.Second, time.Hour},
		{"peers", "heartbeat", s.Peers.Heartbeat, 50 * time.Millisecond, time.Second},
		{"platform", "timeout", s.Platform.Timeout, 50 * time.Millisecond, time.Minute},
		{"platform", "list_interval", s.Platform.ListInterval, 50 * time.Millisecond, 2 * time.Second},
		{"platform", "table_interval", s.Platform.TableInterval, 50 * time.Millisecond, 5 * time.Second},
		{"endpoints", "report_interval", s.Endpoints.ReportInterval, 50 * time.Millisecond, 10 * time.Second},
		{"endpoints", "max_order_delay", s.Endpoints.MaxOrderDelay, time.Second, 24 * time.Hour},
	} {
		if v := time.Duration(d.value); v < d.low || v > d.high {
			c.problemf(d.path, d.key, "is %s; must be between %s and %s", v, d.low, d.high)
		}
	}
}

func (c checker) numbers(s *Settings) {
	checkRange(c, "callers", "max_body_bytes", s.Callers.MaxBodyBytes, 1024, 1<<30)
	checkRange(c, "endpoints", "shards", s.Endpoints.Shards, 1, maxShards)
	checkRange(c, "admission", "max_queued", s.Admission.MaxQueued, 1, 1_000_000)
	checkRange(c, "weight_store", "loads_per_second", s.WeightStore.LoadsPerSecond, 0.01, 10_000)
	checkRange(c, "weight_store", "at_once", s.WeightStore.AtOnce, 1, 10_000)
	checkRange(c, "weight_store", "adapters_in_transit", s.WeightStore.AdaptersInTransit, 1, 100_000)
}

func checkRange[N cmp.Ordered](c checker, path, key string, value, low, high N) {
	if !(value >= low && value <= high) {
		c.problemf(path, key, "is %v; must be between %v and %v", value, low, high)
	}
}

func (c checker) certificate(path string, cert Certificate) {
	if (cert.CertFile == "") != (cert.KeyFile == "") {
		c.problemf(path, "", "cert_file and key_file must be set together")
	}
	if cert.ClientCAFile != "" && cert.CertFile == "" {
		c.problemf(path, "client_ca_file", "needs cert_file and key_file")
	}
	for key, file := range map[string]string{"cert_file": cert.CertFile, "key_file": cert.KeyFile, "client_ca_file": cert.ClientCAFile} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			c.problemf(path, key, "%v", err)
		}
	}
}
