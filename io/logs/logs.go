// Package logs sets up logrus so that each event is one line of key=value
// pairs.
package logs

import (
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"azurering/core/codes"
)

// Config configures a logger.
type Config struct {
	Level string    // a logrus level; empty means info
	Out   io.Writer // nil means standard error
}

// New returns a logger. An unknown level is an error with SettingsInvalid.
func New(cfg Config) (*logrus.Logger, error) {
	if cfg.Level == "" {
		cfg.Level = logrus.InfoLevel.String()
	}
	if cfg.Out == nil {
		cfg.Out = os.Stderr
	}
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "logs: unknown level %q", cfg.Level)
	}
	l := logrus.New()
	l.SetLevel(level)
	l.SetOutput(cfg.Out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l, nil
}
