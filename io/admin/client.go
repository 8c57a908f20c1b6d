package admin

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	URL    string       // base URL of an admin listener
	Secret string       // operator credential; empty sends none
	HTTP   *http.Client // nil means one with a timeout of 60 s
}

// Client calls the operator interface of one entry host. Its errors carry the
// code of the host's error response, PeerDown if no whole response arrived,
// and PeerRefused if the response is not from an entry host. It is safe for
// concurrent use.
type Client struct {
	cfg ClientConfig
}

// KeyStatus is one key of the sheet in force and whether it is withdrawn.
type KeyStatus struct {
	Name      core.KeyID
	Workspace core.WorkspaceID
	Withdrawn bool
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: time.Minute}
	}
	return &Client{cfg: cfg}
}

// call sends one request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	payload, _, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	return codes.Wrap(json.Unmarshal(payload, into), codes.Internal, "admin: response of the entry host is not valid JSON")
}

// send sends one request and returns the body and header of the response. Any
// status other than 200 is an error.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.UsageBad, "admin: request cannot be created")
	}
	if c.cfg.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Secret)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.PeerDown, "admin: no response from the entry host")
	}
	defer func() { _ = resp.Body.Close() }()
	payload, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.PeerDown, "admin: response of the entry host is incomplete")
	}
	if resp.StatusCode == http.StatusOK {
		return payload, resp.Header, nil
	}
	var refusal errorJSON
	if err := json.Unmarshal(payload, &refusal); err != nil || refusal.Code == 0 {
		return nil, nil, codes.New(codes.PeerRefused, "admin: entry host responded with status %s", resp.Status)
	}
	return nil, nil, &codes.Error{Code: codes.Code(refusal.Code), Text: "admin: entry host refused the request", Cause: errors.New(refusal.Message)}
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "admin: request cannot be encoded")
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

// Status returns the state of the system as the host sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out statusJSON
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return statusFromWire(out), err
}

// Sheet returns the sheet in force as TOML, and its version.
func (c *Client) Sheet(ctx context.Context) ([]byte, uint64, error) {
	payload, header, err := c.send(ctx, http.MethodGet, "/v1/sheet", nil)
	if err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseUint(header.Get("Azurering-Version"), 10, 64)
	return payload, version, codes.Wrap(err, codes.Internal, "admin: header Azurering-Version of the response is not a number")
}

// Metrics returns the metrics of the host in the Prometheus text format.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	payload, _, err := c.send(ctx, http.MethodGet, "/metrics", nil)
	return payload, err
}

// CheckSheet validates a sheet on the host and returns the version in force.
func (c *Client) CheckSheet(ctx context.Context, sheet []byte) (uint64, error) {
	var out publishedJSON
	err := c.call(ctx, http.MethodPost, "/v1/sheet/check", sheet, &out)
	return out.Version, err
}

// ApplySheet publishes a sheet if base is the version in force. Base zero
// replaces whatever version is in force.
func (c *Client) ApplySheet(ctx context.Context, sheet []byte, base uint64) (PublishResult, error) {
	var out publishedJSON
	err := c.call(ctx, http.MethodPost, "/v1/sheet?base="+strconv.FormatUint(base, 10), sheet, &out)
	return publishedFromWire(out), err
}

// Keys lists the keys of the sheet in force.
func (c *Client) Keys(ctx context.Context) ([]KeyStatus, error) {
	var list []keyJSON
	err := c.call(ctx, http.MethodGet, "/v1/keys", nil, &list)
	out := make([]KeyStatus, 0, len(list))
	for _, k := range list {
		out = append(out, KeyStatus{Name: core.KeyID(k.Name), Workspace: core.WorkspaceID(k.Workspace), Withdrawn: k.Withdrawn})
	}
	return out, err
}

// GrantKey adds a key to the sheet in force. The name of a withdrawn key cannot
// be used again.
func (c *Client) GrantKey(ctx context.Context, k core.Key) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/keys", grantJSON{Name: string(k.Name), Workspace: string(k.Workspace), Hash: hex.EncodeToString(k.Hash[:])}, &out)
	return publishedFromWire(out), err
}

// WithdrawKey withdraws a key for good and reports how far the withdrawal has
// spread.
func (c *Client) WithdrawKey(ctx context.Context, key core.KeyID) (WithdrawResult, error) {
	var out withdrawnJSON
	err := c.post(ctx, "/v1/keys/withdraw", withdrawJSON{Name: string(key)}, &out)
	return withdrawnFromWire(out), err
}

// AddShift publishes a shift.
func (c *Client) AddShift(ctx context.Context, s core.Shift) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/shifts", shiftJSON{
		Name: s.Name, From: string(s.From), To: string(s.To), Share: fromThousandths(int64(s.SharePerMille)), Cap: fromThousandths(s.Cap),
	}, &out)
	return publishedFromWire(out), err
}

// AddDrain publishes a drain or a stop.
func (c *Client) AddDrain(ctx context.Context, d core.Drain) (PublishResult, error) {
	request := drainRequestJSON{Kind: string(d.Kind), Target: d.Target, Mode: string(d.Mode)}
	if d.Timeout > 0 {
		request.Within = d.Timeout.String()
	}
	var out publishedJSON
	err := c.post(ctx, "/v1/drains", request, &out)
	return publishedFromWire(out), err
}

// Resume ends the shift or drain that target names.
func (c *Client) Resume(ctx context.Context, target string) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/resume", resumeJSON{Target: target}, &out)
	return publishedFromWire(out), err
}
