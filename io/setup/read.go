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

// The defaults of settings that may be left out.
const (
	DefaultFreshness = 4 * time.Second
	DefaultLoan      = 12 * time.Second
	DefaultRetention = 48 * time.Hour
	DefaultLifetime  = 10 * time.Second
	DefaultStop      = 60 * time.Second
	DefaultTimeout   = 2 * time.Second
	DefaultHeader    = 32 << 10
	DefaultBody      = 8 << 20
	DefaultConns     = 4096
	DefaultSlow      = 10 * time.Second
)

type file struct {
	Host      string   `toml:"host"`
	Domain    string   `toml:"domain"`
	Freshness string   `toml:"freshness"`
	Loan      string   `toml:"loan"`
	Retention string   `toml:"retention"`
	Lifetime  string   `toml:"lifetime"`
	Stop      string   `toml:"stop"`
	Level     string   `toml:"level"`
	Caller    callers  `toml:"caller"`
	Peer      listener `toml:"peer"`
	Admin     admins   `toml:"admin"`
	Platform  platform `toml:"platform"`
	Limits    limits   `toml:"limits"`
}

type callers struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

type admins struct {
	Listen string `toml:"listen"`
	Plain  bool   `toml:"plain"`
	Cert   string `toml:"cert"`
	Key    string `toml:"key"`
	CA     string `toml:"ca"`
	Secret string `toml:"secret"`
}

type listener struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	Plain     bool   `toml:"plain"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Secret    string `toml:"secret"`
}

type platform struct {
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

type limits struct {
	Header int    `toml:"header"`
	Body   int64  `toml:"body"`
	Conns  int    `toml:"conns"`
	Slow   string `toml:"slow"`
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, codes.Wrap(err, codes.SettingsInvalid, "setup: settings file cannot be opened")
	}
	return Parse(raw)
}

// Parse parses and checks settings. Its error carries SettingsInvalid and
// lists all faults at once; unknown keys come with line and column.
func Parse(raw []byte) (Settings, error) {
	var f file
	if err := tomls.Decode(raw, &f, codes.SettingsInvalid); err != nil {
		return Settings{}, err
	}
	c := &checker{}
	s := c.settings(f)
	if len(c.faults) > 0 {
		return Settings{}, codes.New(codes.SettingsInvalid, "setup: %d faults:\n%s", len(c.faults), strings.Join(c.faults, "\n"))
	}
	return s, nil
}

type checker struct {
	faults []string
}

// setting is one setting with its text, for checks that go over several.
type setting struct {
	name string
	text string
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) settings(f file) Settings {
	s := Settings{Host: core.HostID(f.Host), Domain: core.DomainID(f.Domain), Level: f.Level}
	if f.Host == "" {
		c.fault("host is missing")
	}
	if f.Domain == "" {
		c.fault("domain is missing")
	}
	if f.Level != "" {
		if _, err := logrus.ParseLevel(f.Level); err != nil {
			c.fault("level: %q is not a log level", f.Level)
		}
	}
	s.Freshness = c.duration("freshness", f.Freshness, DefaultFreshness, time.Second, time.Minute)
	s.Loan = c.duration("loan", f.Loan, DefaultLoan, 2*time.Second, 10*time.Minute)
	s.Retention = c.duration("retention", f.Retention, DefaultRetention, time.Hour, 90*24*time.Hour)
	s.Lifetime = c.duration("lifetime", f.Lifetime, DefaultLifetime, time.Second, 10*time.Minute)
	s.Stop = c.duration("stop", f.Stop, DefaultStop, time.Second, time.Hour)
	s.Caller = c.listener("caller", listener{
		Listen: f.Caller.Listen, Advertise: f.Caller.Advertise, Cert: f.Caller.Cert, Key: f.Caller.Key,
	}, false)
	s.Peer = c.listener("peer", f.Peer, true)
	s.Admin = c.listener("admin", listener{
		Listen: f.Admin.Listen, Plain: f.Admin.Plain, Cert: f.Admin.Cert, Key: f.Admin.Key, CA: f.Admin.CA, Secret: f.Admin.Secret,
	}, true)
	s.Platform = c.platform(f.Platform)
	s.Limits = c.limits(f.Limits)
	return s
}

func (c *checker) duration(what, text string, fallback, low, high time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.fault("%s: %q is not a duration such as 250ms or 20s", what, text)
		return fallback
	}
	if d < low || d > high {
		c.fault("%s: %s is out of range, must be %s to %s", what, d, low, high)
	}
	return d
}

// listener checks one listener. A secured listener needs TLS, or a secret
// on a loopback address or with plain = true.
func (c *checker) listener(what string, f listener, secured bool) Listener {
	l := Listener(f)
	address, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		c.fault("%s.listen: %q is not an IP address and port", what, f.Listen)
	}
	if f.Advertise != "" {
		if _, err := netip.ParseAddrPort(f.Advertise); err != nil {
			c.fault("%s.advertise: %q is not an IP address and port", what, f.Advertise)
		}
	}
	if (f.Cert == "") != (f.Key == "") {
		c.fault("%s: cert and key go together", what)
	}
	for _, v := range []setting{{"cert", f.Cert}, {"key", f.Key}, {"ca", f.CA}} {
		if v.text == "" {
			continue
		}
		if _, err := os.Stat(v.text); err != nil {
			c.fault("%s.%s: file cannot be opened", what, v.name)
		}
	}
	if !secured {
		return l
	}
	if f.Cert == "" && !f.Plain && err == nil && !address.Addr().IsLoopback() {
		c.fault("%s: without TLS the address must be loopback, or plain must be true", what)
	}
	if f.Secret == "" && f.CA == "" {
		c.fault("%s: needs a secret, or a ca that signs the users' certificates", what)
	}
	return l
}

func (c *checker) platform(f platform) Platform {
	p := Platform{
		Table: f.Table, Name: f.Name, Objects: f.Objects, Bucket: f.Bucket, Hosts: f.Hosts,
		Region: f.Region, Access: f.Access, Secret: f.Secret,
		Timeout: c.duration("platform.timeout", f.Timeout, DefaultTimeout, 10*time.Millisecond, time.Minute),
	}
	for _, v := range []setting{{"table", f.Table}, {"objects", f.Objects}, {"hosts", f.Hosts}} {
		u, err := url.Parse(v.text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.fault("platform.%s: %q is not an http or https URL", v.name, v.text)
		}
	}
	for _, v := range []setting{{"name", f.Name}, {"bucket", f.Bucket}, {"access", f.Access}, {"secret", f.Secret}} {
		if v.text == "" {
			c.fault("platform.%s is missing", v.name)
		}
	}
	if p.Region == "" {
		p.Region = "local"
	}
	return p
}

func (c *checker) limits(f limits) Limits {
	l := Limits{Header: f.Header, Body: f.Body, Conns: f.Conns}
	if l.Header == 0 {
		l.Header = DefaultHeader
	}
	if l.Body == 0 {
		l.Body = DefaultBody
	}
	if l.Conns == 0 {
		l.Conns = DefaultConns
	}
	if l.Header < 1024 || l.Header > 1<<20 {
		c.fault("limits.header: %d bytes is out of range, must be 1024 to %d", l.Header, 1<<20)
	}
	if l.Body < 0 || l.Body > 1<<30 {
		c.fault("limits.body: %d bytes is out of range, must be 0 to %d", l.Body, 1<<30)
	}
	if l.Conns < 1 || l.Conns > 1_000_000 {
		c.fault("limits.conns: %d is out of range, must be 1 to 1000000", l.Conns)
	}
	l.Slow = c.duration("limits.slow", f.Slow, DefaultSlow, 100*time.Millisecond, 10*time.Minute)
	return l
}
