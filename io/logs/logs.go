// Package logs creates the loggers of the azurering processes: logrus loggers
// that write each event as one line of key=value pairs, and a writer that does
// not block.
package logs

import (
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"azurering/core/codes"
)

// Config configures the logger that New returns.
type Config struct {
	Level string    // a logrus level; empty means info
	Out   io.Writer // nil means standard error
}

// New returns a logger. For an unknown level it returns an error with the
// code SettingsInvalid.
func New(cfg Config) (*logrus.Logger, error) {
	if cfg.Level == "" {
		cfg.Level = logrus.InfoLevel.String()
	}
	if cfg.Out == nil {
		cfg.Out = os.Stderr
	}
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "logs: unknown log level %q", cfg.Level)
	}
	l := logrus.New()
	l.SetLevel(level)
	l.SetOutput(cfg.Out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l, nil
}
