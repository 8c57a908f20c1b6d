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

// ClientConfig configures a client.
type ClientConfig struct {
	URL    string // base URL of an admin listener
	Secret string
	HTTP   *http.Client // nil means one with a timeout of 60 s
}

// Client calls the operators' interface. Its errors carry the code of the
// answer, or PeerDown if there was none. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
}

// KeyStatus is one key of the sheet in force.
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

// do sends one request and decodes the answer into out.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	raw, _, err := c.raw(ctx, method, path, body)
	if err != nil {
		return err
	}
	return codes.Wrap(json.Unmarshal(raw, out), codes.Internal, "admin: answer cannot be read")
}

func (c *Client) raw(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.UsageBad, "admin: request")
	}
	if c.cfg.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Secret)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.PeerDown, "admin: no answer from the entry host")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, codes.Wrap(err, codes.PeerDown, "admin: answer was cut")
	}
	if resp.StatusCode == http.StatusOK {
		return raw, resp.Header, nil
	}
	var e errorJSON
	if err := json.Unmarshal(raw, &e); err != nil || e.Code == 0 {
		return nil, nil, codes.New(codes.PeerRefused, "admin: entry host answered %s", resp.Status)
	}
	return nil, nil, &codes.Error{Code: codes.Code(e.Code), Text: "admin: entry host refused", Cause: errors.New(e.Message)}
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "admin: request")
	}
	return c.do(ctx, http.MethodPost, path, body, out)
}

// Status returns what the host knows of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out statusJSON
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
	return toStatus(out), err
}

// Sheet returns the sheet in force as TOML, and its version.
func (c *Client) Sheet(ctx context.Context) ([]byte, uint64, error) {
	raw, header, err := c.raw(ctx, http.MethodGet, "/v1/sheet", nil)
	if err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseUint(header.Get("Azurering-Version"), 10, 64)
	return raw, version, codes.Wrap(err, codes.Internal, "admin: answer has no version")
}

// Metrics returns the metrics of the host in the Prometheus text format.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	raw, _, err := c.raw(ctx, http.MethodGet, "/metrics", nil)
	return raw, err
}

// CheckSheet validates a sheet on the host and returns the version in force.
func (c *Client) CheckSheet(ctx context.Context, sheet []byte) (uint64, error) {
	var out publishedJSON
	err := c.do(ctx, http.MethodPost, "/v1/sheet/check", sheet, &out)
	return out.Version, err
}

// ApplySheet publishes a sheet. Base zero means after whatever is in force.
func (c *Client) ApplySheet(ctx context.Context, sheet []byte, base uint64) (PublishResult, error) {
	var out publishedJSON
	err := c.do(ctx, http.MethodPost, "/v1/sheet?base="+strconv.FormatUint(base, 10), sheet, &out)
	return toPublished(out), err
}

// Keys lists the keys of the sheet in force.
func (c *Client) Keys(ctx context.Context) ([]KeyStatus, error) {
	var list []keyJSON
	err := c.do(ctx, http.MethodGet, "/v1/keys", nil, &list)
	out := make([]KeyStatus, 0, len(list))
	for _, k := range list {
		out = append(out, KeyStatus{Name: core.KeyID(k.Name), Workspace: core.WorkspaceID(k.Workspace), Withdrawn: k.Withdrawn})
	}
	return out, err
}

// GrantKey adds a key.
func (c *Client) GrantKey(ctx context.Context, k core.Key) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/keys", grantJSON{Name: string(k.Name), Workspace: string(k.Workspace), Hash: hex.EncodeToString(k.Hash[:])}, &out)
	return toPublished(out), err
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, key core.KeyID) (WithdrawResult, error) {
	var out withdrawnJSON
	err := c.post(ctx, "/v1/keys/withdraw", withdrawJSON{Name: string(key)}, &out)
	return toWithdrawn(out), err
}

// AddShift publishes a shift.
func (c *Client) AddShift(ctx context.Context, v core.Shift) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/shifts", shiftJSON{
		Name: v.Name, From: string(v.From), To: string(v.To), Share: decimal(int64(v.SharePerMille)), Cap: decimal(v.Cap),
	}, &out)
	return toPublished(out), err
}

// AddDrain publishes a drain or a stop.
func (c *Client) AddDrain(ctx context.Context, d core.Drain) (PublishResult, error) {
	request := drainRequestJSON{Kind: string(d.Kind), Target: d.Target, Mode: string(d.Mode)}
	if d.Timeout > 0 {
		request.Within = d.Timeout.String()
	}
	var out publishedJSON
	err := c.post(ctx, "/v1/drains", request, &out)
	return toPublished(out), err
}

// Resume ends a shift or a drain.
func (c *Client) Resume(ctx context.Context, target string) (PublishResult, error) {
	var out publishedJSON
	err := c.post(ctx, "/v1/resume", resumeJSON{Target: target}, &out)
	return toPublished(out), err
}
