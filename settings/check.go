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

// checker checks the values of decoded settings and adds a finding for each problem.
type checker struct {
	file     string
	sections map[string]tomlfile.Section // sections of the file, by path
	problems *finding.List
}

// problemf adds a finding about a key of the section with the given path. The file
// need not contain the section.
func (c checker) problemf(path, key, format string, args ...any) {
	s, ok := c.sections[path]
	if !ok {
		s = tomlfile.Section{File: c.file, Path: path}
	}
	s.Problemf(c.problems, key, format, args...)
}

// checkAll checks all settings, reads secrets from their files, and sets the
// advertised address if it is empty.
func (c checker) checkAll(s *Settings) {
	c.checkRequired("instance", "id", s.Instance.ID)
	c.checkRequired("instance", "data_centre", s.Instance.DataCentre)
	c.checkAddresses(s)
	c.checkPlatform(&s.Platform)
	c.loadSecret("operators", "token", &s.Operators.Token, s.Operators.TokenFile, !s.TLS.Operators.requiresClientCert())
	c.loadSecret("peers", "secret", &s.Peers.Secret, s.Peers.SecretFile, true)
	c.checkDurations(s)
	c.checkNumbers(s)
	c.checkOneOf("admission", "policy", s.Admission.Policy, "rank", "round-robin", "least-loaded")
	c.checkOneOf("admission", "placement", s.Admission.Placement, "adaptive", "static", "greedy")
	c.checkOneOf("log", "level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkCertificate("tls.callers", s.TLS.Callers)
	c.checkCertificate("tls.operators", s.TLS.Operators)
	c.checkCertificate("tls.peers", s.TLS.Peers)
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
}

// requiresClientCert reports whether clients are authenticated by a certificate.
func (c Certificate) requiresClientCert() bool { return c.Enabled() && c.ClientCAFile != "" }

func (c checker) checkRequired(path, key, value string) {
	if value == "" {
		c.problemf(path, key, "must be set")
	}
}

func (c checker) checkOneOf(path, key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.problemf(path, key, "is %q; must be one of %s", value, strings.Join(allowed, ", "))
	}
}

// checkAddresses checks that the listeners have valid addresses, that no two of them
// overlap, and that peers can connect to the advertised address.
func (c checker) checkAddresses(s *Settings) {
	type listener struct{ path, value, host, port string }
	var checked []listener
	for _, l := range []listener{{path: "callers", value: s.Callers.Listen}, {path: "operators", value: s.Operators.Listen}, {path: "peers", value: s.Peers.Listen}} {
		if l.value == "" {
			c.problemf(l.path, "listen", "must be set to an address, such as \"10.0.0.5:8080\"")
			continue
		}
		var ok bool
		if l.host, l.port, ok = c.splitHostPort(l.path, "listen", l.value); !ok {
			continue
		}
		for _, other := range checked {
			if l.port == other.port && l.port != "0" && overlaps(l.host, other.host) {
				c.problemf(l.path, "listen", "%q overlaps with %s.listen %q", l.value, other.path, other.value)
			}
		}
		checked = append(checked, l)
	}
	if s.Peers.Advertise != "" {
		if host, _, ok := c.splitHostPort("peers", "advertise", s.Peers.Advertise); ok && isUnspecified(host) {
			c.problemf("peers", "advertise", "%q is not an address that peers can connect to", s.Peers.Advertise)
		}
	} else if host, _, err := net.SplitHostPort(s.Peers.Listen); err == nil && isUnspecified(host) {
		c.problemf("peers", "advertise", "must be set, because peers.listen %q is not an address that peers can connect to", s.Peers.Listen)
	}
}

// splitHostPort splits an address of the form IP:port, where the IP can be empty. It
// adds a finding and returns false if the address is not valid.
func (c checker) splitHostPort(path, key, value string) (host, port string, ok bool) {
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

// isUnspecified reports whether a listener on host accepts connections on all
// addresses of the machine.
func isUnspecified(host string) bool { return host == "" || net.ParseIP(host).IsUnspecified() }

// overlaps reports whether listeners on a and b with the same port conflict.
func overlaps(a, b string) bool {
	return isUnspecified(a) || isUnspecified(b) || net.ParseIP(a).Equal(net.ParseIP(b))
}

func (c checker) checkPlatform(p *Platform) {
	if p.Address == "" {
		c.problemf("platform", "address", "must be set to an address, such as \"10.0.0.2:9000\"")
	} else {
		c.splitHostPort("platform", "address", p.Address)
	}
	c.loadSecret("platform", "token", &p.Token, p.TokenFile, false)
}

// loadSecret checks a secret. If the settings name a file, it first sets value to
// the trimmed content of that file.
func (c checker) loadSecret(path, key string, value *string, file string, required bool) {
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
	case *value == "" && required:
		c.problemf(path, key, "must be set, here or through %s", fileKey)
		return
	}
	if *value != "" && len(*value) < minSecretBytes {
		c.problemf(path, key, "must have at least %d characters", minSecretBytes)
	}
}

func (c checker) checkDurations(s *Settings) {
	for _, d := range []struct {
		path, key        string
		value            tomlfile.Duration
		minimum, maximum time.Duration
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
		if v := time.Duration(d.value); v < d.minimum || v > d.maximum {
			c.problemf(d.path, d.key, "is %s; must be between %s and %s", v, d.minimum, d.maximum)
		}
	}
}

func (c checker) checkNumbers(s *Settings) {
	checkRange(c, "callers", "max_body_bytes", s.Callers.MaxBodyBytes, 1024, 1<<30)
	if s.Callers.MaxHeldBytes != 0 {
		// Two of the largest bodies must find room in the part that bodies can use.
		checkRange(c, "callers", "max_held_bytes", s.Callers.MaxHeldBytes, 4*s.Callers.MaxBodyBytes, 1<<40)
	}
	checkRange(c, "endpoints", "shards", s.Endpoints.Shards, 1, maxShards)
	checkRange(c, "admission", "max_queued", s.Admission.MaxQueued, 1, 1_000_000)
	checkRange(c, "weight_store", "loads_per_second", s.WeightStore.LoadsPerSecond, 0.01, 10_000)
	checkRange(c, "weight_store", "at_once", s.WeightStore.MaxConcurrentLoads, 1, 10_000)
	checkRange(c, "weight_store", "adapters_in_transit", s.WeightStore.MaxAdapterLoads, 1, 100_000)
}

// checkRange adds a finding if value is not between minimum and maximum, inclusive.
// It rejects NaN.
func checkRange[N cmp.Ordered](c checker, path, key string, value, minimum, maximum N) {
	if !(value >= minimum && value <= maximum) {
		c.problemf(path, key, "is %v; must be between %v and %v", value, minimum, maximum)
	}
}

func (c checker) checkCertificate(path string, cert Certificate) {
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
