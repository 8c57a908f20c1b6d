package relay

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// maxAttempts is the maximum number of hosts tried for one request, since
// each refusal costs a round trip between domains.
const maxAttempts = 3

// ClientConfig configures a Client. All fields but Credential are required.
type ClientConfig struct {
	Region func() core.RegionID // region of this host
	Peers  core.Peers
	// Candidates returns the hosts of other domains that may have a slot, best
	// first.
	Candidates func(service core.ServiceID, class core.Class) []core.Host
	// OnRefused is called when a host did not reserve a slot, also when it could
	// not be reached.
	OnRefused func(service core.ServiceID, h core.Host)
	// ChargeLink charges a request to the link budget for the domain of a host.
	// Its error carries LinkFull.
	ChargeLink func(h core.Host, class core.Class) error
	Servers    core.Servers // sends HTTP to the peer listeners
	// SharedSecret, if set, is sent with each forwarded request as a bearer
	// token.
	SharedSecret string
}

// Client implements core.RemoteSender: it forwards requests to Receivers of other
// hosts. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
}

var _ core.RemoteSender = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client { return &Client{cfg: cfg} }

// Send implements core.RemoteSender. It tries up to three hosts until one reserves a
// slot, and forwards the request only to that host.
func (c *Client) Send(ctx context.Context, r core.Request, class core.Class) (core.Response, error) {
	cause := codes.New(codes.NoCapacity, "relay: no other failure domain has a slot for service %s", r.Service)
	for i, h := range c.cfg.Candidates(r.Service, class) {
		if i == maxAttempts {
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
		return "", codes.New(codes.NoCapacity, "relay: host %s did not reserve a slot", h.Name)
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

// sendState returns the state in an error of core.Servers, or SendUnknown if it
// has none.
func sendState(err error) core.SendState {
	var se *core.SendError
	if errors.As(err, &se) {
		return se.State
	}
	return core.SendUnknown
}
