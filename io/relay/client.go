package relay

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// maxAsks bounds the hosts asked for a slot for one request: each refusal
// costs a round trip between domains.
const maxAsks = 3

// ClientConfig configures a Client. All fields are required.
type ClientConfig struct {
	Region func() core.RegionID // the own region
	Peers  core.Peers
	// Candidates returns hosts of other domains to ask, best first.
	Candidates func(service core.ServiceID, class core.Class) []core.Host
	// OnRefused is told that a host had no slot.
	OnRefused func(service core.ServiceID, h core.Host)
	// ChargeLink takes a request to a domain from the link budget. Its error
	// carries LinkFull.
	ChargeLink func(h core.Host, class core.Class) error
	Servers    core.Servers // sends HTTP to the peer listeners
	// SharedSecret is sent with each forwarded request, if set.
	SharedSecret string
}

// Client implements core.Remote. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
}

var _ core.RemoteSender = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client { return &Client{cfg: cfg} }

// Send implements core.Remote.
func (c *Client) Send(ctx context.Context, r core.Request, class core.Class) (core.Response, error) {
	cause := codes.New(codes.NoCapacity, "relay: no other failure domain has a slot for service %s", r.Service)
	for i, h := range c.cfg.Candidates(r.Service, class) {
		if i == maxAsks {
			break
		}
		if err := c.cfg.ChargeLink(h, class); err != nil {
			cause = err
			continue
		}
		ticket, err := c.reserve(ctx, h, r.Service, class)
		if err != nil {
			c.cfg.OnRefused(r.Service, h)
			continue
		}
		return c.forward(ctx, h, ticket, r)
	}
	return core.Response{}, &core.SendError{State: core.SendNotSent, Cause: cause}
}

func (c *Client) reserve(ctx context.Context, h core.Host, service core.ServiceID, class core.Class) (string, error) {
	answer, err := c.cfg.Peers.Call(ctx, h.Name, core.ReserveRequest{Service: service, Class: class, From: c.cfg.Region()})
	if err != nil {
		return "", err
	}
	reserved, ok := answer.(core.ReserveResponse)
	if !ok || !reserved.Granted {
		return "", codes.New(codes.NoCapacity, "relay: host %s gave no slot", h.Name)
	}
	return reserved.Ticket, nil
}

func (c *Client) forward(ctx context.Context, h core.Host, ticket string, r core.Request) (core.Response, error) {
	r.Header = r.Header.Clone()
	if r.Header == nil {
		r.Header = make(http.Header)
	}
	r.Header.Set(HeaderTicket, ticket)
	r.Header.Set(HeaderService, string(r.Service))
	if c.cfg.SharedSecret != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.SharedSecret)
	}
	r.Path = Path[:len(Path)-1] + r.Path
	return c.cfg.Servers.Send(ctx, core.Server{Name: core.ServerID(h.Name), Address: h.PeerAddress}, r)
}

func sendState(err error) core.SendState {
	var se *core.SendError
	if errors.As(err, &se) {
		return se.State
	}
	return core.SendUnknown
}
