package watch

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// handleConfigRows posts the row of the config.
func (s *Service) handleConfigRows(p page) {
	row := s.configRow(rowstore.NewVersion(p.Version.Era(), 0))
	found := false
	for _, r := range p.Rows {
		if r.Key == s.source.ConfigKey && !r.Removed {
			row.Version, found = r.Version, true
			s.postConfig(r.Value, controlplane.ConfigSeen{Row: row})
		}
	}
	if p.wholeTable && !found {
		s.control.Post(controlplane.ConfigSeen{Row: row})
	}
}

// handleConfigRelayed decodes a config that was not read by this service.
func (s *Service) handleConfigRelayed(_ context.Context, e controlplane.ConfigRelayed) {
	s.postConfig(e.Value, e.Seen)
}

// checkConfig reads the row of the config, and posts it if it differs from the known one.
func (s *Service) checkConfig(ctx context.Context, e controlplane.CheckConfig) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	row, err := s.store.ReadRow(ctx, e.Row.Table, e.Row.Key)
	if err != nil {
		s.control.Post(controlplane.ConfigChecked{Row: e.Row, Err: err})
		return
	}
	checked := controlplane.ConfigChecked{Row: s.configRow(row.Version), SentAt: sentAt}
	if row.Version != e.Row.Version && row.Version.Counter() != 0 {
		s.postConfig(row.Value, controlplane.ConfigSeen{Row: checked.Row, AsOf: sentAt})
	}
	s.control.Post(checked)
}

// configRow returns the row of the config with a version.
func (s *Service) configRow(version rowstore.Version) controlplane.ConfigRow {
	return controlplane.ConfigRow{Table: s.source.ConfigTable, Key: s.source.ConfigKey, Version: version}
}

// postConfig decodes a config and posts it with what is known about its row. A config
// that can't be decoded is logged.
func (s *Service) postConfig(value []byte, seen controlplane.ConfigSeen) {
	config, err := s.source.DecodeConfig(value)
	if err != nil {
		s.log.Error("cannot decode config", "row_version", seen.Row.Version, "error", err)
	}
	seen.Config, seen.Value = config, value
	s.control.Post(seen)
}
