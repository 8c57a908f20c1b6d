// Package sheets reads and writes sheets, the system-wide configuration, as
// TOML files. The operator interface and the command line use it.
package sheets

// The types below mirror the TOML file. Rates and caps are in requests per
// second, bursts in requests and shares in fractions of 1, with up to three
// decimals; package core has them in thousandths.

type file struct {
	Name      string      `toml:"name"`
	Region    []region    `toml:"region"`
	Link      []link      `toml:"link"`
	Service   []service   `toml:"service"`
	Server    []server    `toml:"server"`
	Workspace []workspace `toml:"workspace"`
	Key       []key       `toml:"key"`
	Block     []block     `toml:"block"`
	Shift     []shift     `toml:"shift"`
	Drain     []drain     `toml:"drain"`
}

type region struct {
	Name    string   `toml:"name"`
	Domains []string `toml:"domains"`
}

type link struct {
	From  string `toml:"from"`
	To    string `toml:"to"`
	Mbits int64  `toml:"mbits"`
	Delay string `toml:"delay"`
}

type service struct {
	Name  string  `toml:"name"`
	Warm  string  `toml:"warm,omitempty"`
	Route []route `toml:"route"`
}

type route struct {
	Path      string `toml:"path"`
	Access    string `toml:"access"`
	Kind      string `toml:"kind"`
	Class     string `toml:"class"`
	Workspace string `toml:"workspace,omitempty"`
	Timeout   string `toml:"timeout,omitempty"`
}

type server struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Domain  string `toml:"domain"`
	Address string `toml:"address"`
	Slots   int    `toml:"slots"`
	Conns   int    `toml:"conns"`
}

type workspace struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`
	Burst float64 `toml:"burst"`
}

type key struct {
	Name      string `toml:"name"`
	Workspace string `toml:"workspace"`
	Hash      string `toml:"hash"`
}

type block struct {
	Prefix string `toml:"prefix"`
	Domain string `toml:"domain"`
}

type shift struct {
	Name  string  `toml:"name"`
	From  string  `toml:"from"`
	To    string  `toml:"to"`
	Share float64 `toml:"share"`
	Cap   float64 `toml:"cap"`
}

type drain struct {
	Kind   string `toml:"kind"`
	Target string `toml:"target"`
	Mode   string `toml:"mode"`
	Within string `toml:"within,omitempty"`
}
