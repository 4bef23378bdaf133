// Package settings reads and checks the settings of one instance from a TOML file.
// It reports every unknown key, wrong type and invalid combination as a finding
// with its position in the file, all of them together.
package settings

import (
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// Settings is the configuration of one instance. docs/settings.md lists every key.
type Settings struct {
	Instance    Instance
	Callers     Callers
	Operators   Operators
	Peers       Peers
	Platform    Platform
	Endpoints   Endpoints
	Admission   Admission
	WeightStore WeightStore
	Log         Log
	TLS         TLS
}

// Instance identifies the instance and configures its shutdown.
type Instance struct {
	ID         string `toml:"id"`
	DataCentre string `toml:"data_centre"`
	// BalancerWait is the time for which a stopping instance keeps serving while its
	// readiness check fails, so that the balancer stops sending requests first.
	BalancerWait tomlfile.Duration `toml:"balancer_wait"`
}

// Callers configures the callers' listener.
type Callers struct {
	Listen       string            `toml:"listen"`
	MaxBodyBytes int64             `toml:"max_body_bytes"`
	MaxHeldBytes int64             `toml:"max_held_bytes"` // limits what all requests hold; 0 means no limit
	ReadTimeout  tomlfile.Duration `toml:"read_timeout"`   // limits the time to receive a whole request
	WriteTimeout tomlfile.Duration `toml:"write_timeout"`  // limits the time to write each chunk of an answer
	IdleTimeout  tomlfile.Duration `toml:"idle_timeout"`   // limits the time between two requests on a connection
}

// Operators configures the operators' listener.
type Operators struct {
	Listen    string `toml:"listen"`
	TokenFile string `toml:"token_file"` // file that holds the bearer token
	Token     string `toml:"token"`
}

// Peers configures the connections between instances.
type Peers struct {
	Listen     string            `toml:"listen"`
	Advertise  string            `toml:"advertise"` // address that peers connect to; the value of Listen if empty
	SecretFile string            `toml:"secret_file"`
	Secret     string            `toml:"secret"`
	Heartbeat  tomlfile.Duration `toml:"heartbeat"` // interval between two heartbeats
}

// Platform configures access to the platform's services.
type Platform struct {
	Address       string            `toml:"address"` // host:port
	TokenFile     string            `toml:"token_file"`
	Token         string            `toml:"token"`
	Timeout       tomlfile.Duration `toml:"timeout"`        // limits the time of one call to the platform
	ListInterval  tomlfile.Duration `toml:"list_interval"`  // interval between reads of the list of instances
	TableInterval tomlfile.Duration `toml:"table_interval"` // interval between reads of the table's head
}

// Endpoints configures the reports from endpoints, the orders to engines, and how the
// endpoints are divided among instances.
type Endpoints struct {
	ReportInterval tomlfile.Duration `toml:"report_interval"` // interval between reads of an endpoint's load report
	// MaxOrderDelay is the longest time for which an order to an engine that does not
	// check fencing tokens can be in transit.
	MaxOrderDelay tomlfile.Duration `toml:"max_order_delay"`
	// Shards is the number of shards into which the endpoints are divided. One
	// instance owns each shard. All instances must have the same value.
	Shards int `toml:"shards"`
}

// Admission selects the policies for admission and placement, and limits the queue.
type Admission struct {
	Policy    string `toml:"policy"`     // "rank", "round-robin" or "least-loaded"
	Placement string `toml:"placement"`  // "adaptive", "static" or "greedy"
	MaxQueued int    `toml:"max_queued"` // maximum number of requests of one rank that wait on one instance
}

// WeightStore holds the limits of the platform's weight store. They apply to all
// instances together.
type WeightStore struct {
	LoadsPerSecond     float64 `toml:"loads_per_second"`    // maximum rate at which model loads start
	MaxConcurrentLoads int     `toml:"at_once"`             // maximum number of model loads in transit
	MaxAdapterLoads    int     `toml:"adapters_in_transit"` // maximum number of adapter loads in transit
}

// Log configures the log.
type Log struct {
	Level string `toml:"level"` // "debug", "info", "warn" or "error"
}

// TLS holds the certificate of each listener.
type TLS struct {
	Callers   Certificate
	Operators Certificate
	Peers     Certificate
}

// Certificate names PEM files, which are reloaded when they change. If ClientCAFile is
// set, clients must present a certificate.
type Certificate struct {
	CertFile     string `toml:"cert_file"`
	KeyFile      string `toml:"key_file"`
	ClientCAFile string `toml:"client_ca_file"`
}

// Enabled reports whether TLS is configured.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Default returns the values of settings that the file does not set.
func Default() Settings {
	return Settings{
		Instance:    Instance{BalancerWait: seconds(5)},
		Callers:     Callers{MaxBodyBytes: 8 << 20, ReadTimeout: seconds(30), WriteTimeout: seconds(30), IdleTimeout: seconds(120)},
		Peers:       Peers{Heartbeat: tomlfile.Duration(500 * time.Millisecond)},
		Platform:    Platform{Timeout: seconds(2), ListInterval: seconds(1), TableInterval: seconds(2)},
		Endpoints:   Endpoints{ReportInterval: tomlfile.Duration(500 * time.Millisecond), MaxOrderDelay: seconds(300), Shards: 64},
		Admission:   Admission{Policy: "rank", Placement: "adaptive", MaxQueued: 10_000},
		WeightStore: WeightStore{LoadsPerSecond: 1.5, MaxConcurrentLoads: 10, MaxAdapterLoads: 90},
		Log:         Log{Level: "info"},
	}
}

func seconds(n int) tomlfile.Duration { return tomlfile.Duration(time.Duration(n) * time.Second) }

// Load reads and checks a settings file. If the file could be read but has problems,
// finding.FromError returns all of them from the error.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data)
}

// sectionTarget is a pointer to the struct with toml tags that a section is decoded
// into.
type sectionTarget any

// Parse decodes and checks the content of a settings file. The name file appears in
// findings. The error carries every finding.
func Parse(file string, data []byte) (Settings, error) {
	var problems finding.List
	s := Default()
	targets := s.targets()
	sectionsByPath := make(map[string]tomlfile.Section)
	for _, section := range tomlfile.Parse(file, data, &problems) {
		target, known := targets[section.Path]
		switch {
		case section.Path == "" && len(section.Keys) == 0:
		case !known:
			section.Problemf(&problems, "", "unknown section")
		case sectionsByPath[section.Path].File != "":
			section.Problemf(&problems, "", "section appears twice")
		default:
			section.Decode(target, &problems)
			sectionsByPath[section.Path] = section
		}
	}
	c := checker{file: file, sections: sectionsByPath, problems: &problems}
	c.checkAll(&s)
	return s, problems.Err()
}

// targets returns the decoding target of each section, by its path.
func (s *Settings) targets() map[string]sectionTarget {
	return map[string]sectionTarget{
		"instance": &s.Instance, "callers": &s.Callers, "operators": &s.Operators, "peers": &s.Peers,
		"platform": &s.Platform, "endpoints": &s.Endpoints, "admission": &s.Admission,
		"weight_store": &s.WeightStore, "log": &s.Log,
		"tls.callers": &s.TLS.Callers, "tls.operators": &s.TLS.Operators, "tls.peers": &s.TLS.Peers,
	}
}
