package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/tomls"
)

// The defaults of optional settings.
const (
	DefaultFreshness = 4 * time.Second
	DefaultLoan      = 12 * time.Second
	DefaultRetention = 48 * time.Hour
	DefaultLifetime  = 10 * time.Second
	DefaultStop      = 60 * time.Second
	DefaultTimeout   = 2 * time.Second // of operations on the platform
	DefaultHeader    = 32 << 10        // bytes
	DefaultBody      = 8 << 20         // bytes
	DefaultBodies    = 64 << 20        // bytes
	DefaultConns     = 4096
	DefaultSlow      = 10 * time.Second
)

// file mirrors the settings file.
type file struct {
	Host      string       `toml:"host"`
	Domain    string       `toml:"domain"`
	Freshness string       `toml:"freshness"`
	Loan      string       `toml:"loan"`
	Retention string       `toml:"retention"`
	Lifetime  string       `toml:"lifetime"`
	Stop      string       `toml:"stop"`
	Level     string       `toml:"level"`
	Caller    callerTOML   `toml:"caller"`
	Peer      listenerTOML `toml:"peer"`
	Admin     adminTOML    `toml:"admin"`
	Platform  platformTOML `toml:"platform"`
	Limits    limitsTOML   `toml:"limits"`
}

type callerTOML struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

type adminTOML struct {
	Listen string `toml:"listen"`
	Plain  bool   `toml:"plain"`
	Cert   string `toml:"cert"`
	Key    string `toml:"key"`
	CA     string `toml:"ca"`
	Secret string `toml:"secret"`
}

type listenerTOML struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	Plain     bool   `toml:"plain"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Secret    string `toml:"secret"`
}

type platformTOML struct {
	Table   string `toml:"table"`
	Name    string `toml:"name"`
	Objects string `toml:"objects"`
	Bucket  string `toml:"bucket"`
	Hosts   string `toml:"hosts"`
	Region  string `toml:"region"`
	Access  string `toml:"access"`
	Secret  string `toml:"secret"`
	Timeout string `toml:"timeout"`
}

type limitsTOML struct {
	Header int    `toml:"header"`
	Body   int64  `toml:"body"`
	Bodies int64  `toml:"bodies"`
	Conns  int    `toml:"conns"`
	Slow   string `toml:"slow"`
}

// Load reads and validates a settings file. Its error has the code
// SettingsInvalid, as that of Read.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, codes.Wrap(err, codes.SettingsInvalid, "setup: settings file cannot be opened")
	}
	return Parse(raw)
}

// Parse parses and validates the text of a settings file and fills in the
// defaults. It checks that the named certificate files exist. Its error has
// the code SettingsInvalid and lists all invalid settings. Syntax errors and
// unknown keys are reported with line and column, before any values are
// checked.
func Parse(raw []byte) (Settings, error) {
	var f file
	if err := tomls.Decode(raw, &f, codes.SettingsInvalid); err != nil {
		return Settings{}, err
	}
	c := &checker{}
	s := c.settings(f)
	if len(c.problems) > 0 {
		return Settings{}, codes.New(codes.SettingsInvalid, "setup: %d invalid settings:\n%s", len(c.problems), strings.Join(c.problems, "\n"))
	}
	return s, nil
}

// checker converts the file to settings and collects the problems found.
type checker struct {
	problems []string
}

// setting is the name and value of a setting, for checks in loops.
type setting struct {
	name  string
	value string
}

func (c *checker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *checker) settings(f file) Settings {
	s := Settings{Host: core.HostID(f.Host), Domain: core.DomainID(f.Domain), Level: f.Level}
	if f.Host == "" {
		c.addProblem("host is missing")
	}
	if f.Domain == "" {
		c.addProblem("domain is missing")
	}
	if f.Level != "" {
		if _, err := logrus.ParseLevel(f.Level); err != nil {
			c.addProblem("level: %q is not a log level", f.Level)
		}
	}
	s.Freshness = c.duration("freshness", f.Freshness, DefaultFreshness, time.Second, time.Minute)
	s.Loan = c.duration("loan", f.Loan, DefaultLoan, 2*time.Second, 10*time.Minute)
	s.Retention = c.duration("retention", f.Retention, DefaultRetention, time.Hour, 90*24*time.Hour)
	s.Lifetime = c.duration("lifetime", f.Lifetime, DefaultLifetime, time.Second, 10*time.Minute)
	s.Stop = c.duration("stop", f.Stop, DefaultStop, time.Second, time.Hour)
	s.Caller = c.listener("caller", listenerTOML{
		Listen: f.Caller.Listen, Advertise: f.Caller.Advertise, Cert: f.Caller.Cert, Key: f.Caller.Key,
	}, false)
	s.Peer = c.listener("peer", f.Peer, true)
	s.Admin = c.listener("admin", listenerTOML{
		Listen: f.Admin.Listen, Plain: f.Admin.Plain, Cert: f.Admin.Cert, Key: f.Admin.Key, CA: f.Admin.CA, Secret: f.Admin.Secret,
	}, true)
	s.Platform = c.platform(f.Platform)
	s.Limits = c.limits(f.Limits)
	return s
}

func (c *checker) duration(name, text string, defaultValue, minValue, maxValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.addProblem("%s: %q is not a duration such as 250ms or 20s", name, text)
		return defaultValue
	}
	if d < minValue || d > maxValue {
		c.addProblem("%s: %s is out of range, must be %s to %s", name, d, minValue, maxValue)
	}
	return d
}

// listener checks one listener. A secured listener needs a secret or a CA,
// and TLS unless its address is loopback or plain is true.
func (c *checker) listener(section string, f listenerTOML, secured bool) Listener {
	l := Listener(f)
	address, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		c.addProblem("%s.listen: %q is not an IP address and port", section, f.Listen)
	}
	if f.Advertise != "" {
		if _, err := netip.ParseAddrPort(f.Advertise); err != nil {
			c.addProblem("%s.advertise: %q is not an IP address and port", section, f.Advertise)
		}
	}
	if (f.Cert == "") != (f.Key == "") {
		c.addProblem("%s: cert and key go together; one of them is missing", section)
	}
	for _, v := range []setting{{"cert", f.Cert}, {"key", f.Key}, {"ca", f.CA}} {
		if v.value == "" {
			continue
		}
		if _, err := os.Stat(v.value); err != nil {
			c.addProblem("%s.%s: file cannot be opened", section, v.name)
		}
	}
	if !secured {
		return l
	}
	if f.Cert == "" && !f.Plain && err == nil && !address.Addr().IsLoopback() {
		c.addProblem("%s: without cert and key the address must be loopback, or plain must be true", section)
	}
	if f.Secret == "" && f.CA == "" {
		c.addProblem("%s: needs a secret, or a ca that signs the certificates of the other side", section)
	}
	return l
}

func (c *checker) platform(f platformTOML) Platform {
	p := Platform{
		Table: f.Table, Name: f.Name, Objects: f.Objects, Bucket: f.Bucket, Hosts: f.Hosts,
		Region: f.Region, Access: f.Access, Secret: f.Secret,
		Timeout: c.duration("platform.timeout", f.Timeout, DefaultTimeout, 10*time.Millisecond, time.Minute),
	}
	for _, v := range []setting{{"table", f.Table}, {"objects", f.Objects}, {"hosts", f.Hosts}} {
		u, err := url.Parse(v.value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.addProblem("platform.%s: %q is not an http or https URL", v.name, v.value)
		}
	}
	for _, v := range []setting{{"name", f.Name}, {"bucket", f.Bucket}, {"access", f.Access}, {"secret", f.Secret}} {
		if v.value == "" {
			c.addProblem("platform.%s is missing", v.name)
		}
	}
	if p.Region == "" {
		p.Region = "local"
	}
	return p
}

func (c *checker) limits(f limitsTOML) Limits {
	l := Limits{Header: f.Header, Body: f.Body, Bodies: f.Bodies, Conns: f.Conns}
	if l.Header == 0 {
		l.Header = DefaultHeader
	}
	if l.Body == 0 {
		l.Body = DefaultBody
	}
	if l.Bodies == 0 {
		l.Bodies = max(DefaultBodies, l.Body)
	}
	if l.Conns == 0 {
		l.Conns = DefaultConns
	}
	if l.Header < 1024 || l.Header > 1<<20 {
		c.addProblem("limits.header: %d bytes is out of range, must be 1024 to %d", l.Header, 1<<20)
	}
	if l.Body < 0 || l.Body > 1<<30 {
		c.addProblem("limits.body: %d bytes is out of range, must be 0 to %d", l.Body, 1<<30)
	}
	if l.Bodies < l.Body || l.Bodies > 1<<40 {
		c.addProblem("limits.bodies: %d bytes is out of range, must be limits.body to %d", l.Bodies, int64(1)<<40)
	}
	if l.Conns < 1 || l.Conns > 1_000_000 {
		c.addProblem("limits.conns: %d is out of range, must be 1 to 1000000", l.Conns)
	}
	l.Slow = c.duration("limits.slow", f.Slow, DefaultSlow, 100*time.Millisecond, 10*time.Minute)
	return l
}
