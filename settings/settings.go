// Package settings reads the settings of one instance from a TOML file. Every
// unknown key, wrong type and impossible combination is a finding with its
// place, and all findings are reported together.
package settings

import (
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// Settings configure one instance. docs/settings.md lists every key.
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

// Instance names the instance and bounds its stop.
type Instance struct {
	ID         string `toml:"id"`
	DataCentre string `toml:"data_centre"`
	// BalancerWait is how long a stopping instance keeps serving after
	// readiness has failed, so that the balancer can take it out first.
	BalancerWait tomlfile.Duration `toml:"balancer_wait"`
}

// Callers configures the callers' listener.
type Callers struct {
	Listen       string            `toml:"listen"`
	MaxBodyBytes int64             `toml:"max_body_bytes"`
	ReadTimeout  tomlfile.Duration `toml:"read_timeout"`  // for a whole request
	WriteTimeout tomlfile.Duration `toml:"write_timeout"` // for each chunk
	IdleTimeout  tomlfile.Duration `toml:"idle_timeout"`  // between requests
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
	Advertise  string            `toml:"advertise"` // address that peers connect to; listen if empty
	SecretFile string            `toml:"secret_file"`
	Secret     string            `toml:"secret"`
	Heartbeat  tomlfile.Duration `toml:"heartbeat"` // between two heartbeats
}

// Platform configures access to the platform's services.
type Platform struct {
	Address       string            `toml:"address"` // host:port
	TokenFile     string            `toml:"token_file"`
	Token         string            `toml:"token"`
	Timeout       tomlfile.Duration `toml:"timeout"`        // of one call
	ListInterval  tomlfile.Duration `toml:"list_interval"`  // between reads of the list of instances
	TableInterval tomlfile.Duration `toml:"table_interval"` // between reads of the table's head
}

// Endpoints configures how endpoints are used.
type Endpoints struct {
	ReportInterval tomlfile.Duration `toml:"report_interval"` // between reads of a load report
	// MaxOrderDelay is the longest time that an order can be on its way to an
	// engine that does not check fencing tokens.
	MaxOrderDelay tomlfile.Duration `toml:"max_order_delay"`
	// Shards is the number of parts into which the endpoints are divided; each
	// has one owner. All instances must have the same number.
	Shards int `toml:"shards"`
}

// Admission selects the policy under load.
type Admission struct {
	Policy    string `toml:"policy"`     // "rank", "round-robin" or "least-loaded"
	Placement string `toml:"placement"`  // "adaptive", "static" or "greedy"
	MaxQueued int    `toml:"max_queued"` // requests of one rank that may wait on an instance
}

// WeightStore gives the limits of the platform's weight store, which all
// instances share.
type WeightStore struct {
	LoadsPerSecond    float64 `toml:"loads_per_second"`    // model loads that may start
	AtOnce            int     `toml:"at_once"`             // model loads in transit
	AdaptersInTransit int     `toml:"adapters_in_transit"` // adapter loads in transit
}

// Log configures the log.
type Log struct {
	Level string `toml:"level"` // "debug", "info", "warn" or "error"
}

// TLS holds the certificates of each listener.
type TLS struct {
	Callers   Certificate
	Operators Certificate
	Peers     Certificate
}

// Certificate names PEM files, which are read again when they change. A
// ClientCAFile makes client certificates mandatory.
type Certificate struct {
	CertFile     string `toml:"cert_file"`
	KeyFile      string `toml:"key_file"`
	ClientCAFile string `toml:"client_ca_file"`
}

// Enabled reports whether TLS is configured.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Default returns the settings that apply where the file sets nothing.
func Default() Settings {
	return Settings{
		Instance:    Instance{BalancerWait: seconds(5)},
		Callers:     Callers{MaxBodyBytes: 8 << 20, ReadTimeout: seconds(30), WriteTimeout: seconds(30), IdleTimeout: seconds(120)},
		Peers:       Peers{Heartbeat: tomlfile.Duration(500 * time.Millisecond)},
		Platform:    Platform{Timeout: seconds(2), ListInterval: seconds(1), TableInterval: seconds(2)},
		Endpoints:   Endpoints{ReportInterval: tomlfile.Duration(500 * time.Millisecond), MaxOrderDelay: seconds(300), Shards: 64},
		Admission:   Admission{Policy: "rank", Placement: "adaptive", MaxQueued: 10_000},
		WeightStore: WeightStore{LoadsPerSecond: 1.5, AtOnce: 10, AdaptersInTransit: 90},
		Log:         Log{Level: "info"},
	}
}

func seconds(n int) tomlfile.Duration { return tomlfile.Duration(time.Duration(n) * time.Second) }

// Load reads and checks a settings file. If the file was read, finding.Of
// returns every finding that the error carries.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data)
}

// sectionTarget is a pointer to a struct with toml tags.
type sectionTarget any

// Parse checks the text of a settings file. The error carries every finding.
func Parse(file string, data []byte) (Settings, error) {
	var problems finding.List
	s := Default()
	targets := s.sections()
	sections := make(map[string]tomlfile.Section)
	for _, section := range tomlfile.Parse(file, data, &problems) {
		target, known := targets[section.Path]
		switch {
		case section.Path == "" && len(section.Keys) == 0:
		case !known:
			section.Problemf(&problems, "", "unknown section")
		case sections[section.Path].File != "":
			section.Problemf(&problems, "", "section appears twice")
		default:
			section.Decode(target, &problems)
			sections[section.Path] = section
		}
	}
	c := checker{file: file, sections: sections, problems: &problems}
	c.check(&s)
	return s, problems.Err()
}

// sections returns the struct that each section of the file is decoded into.
func (s *Settings) sections() map[string]sectionTarget {
	return map[string]sectionTarget{
		"instance": &s.Instance, "callers": &s.Callers, "operators": &s.Operators, "peers": &s.Peers,
		"platform": &s.Platform, "endpoints": &s.Endpoints, "admission": &s.Admission,
		"weight_store": &s.WeightStore, "log": &s.Log,
		"tls.callers": &s.TLS.Callers, "tls.operators": &s.TLS.Operators, "tls.peers": &s.TLS.Peers,
	}
}
