// Package dynamo implements core.Table over the DynamoDB API.
//
// A row is one item: its space is the partition key, its key the sort key,
// and version, token and value are attributes.
package dynamo

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"azurering/core"
	"azurering/core/codes"
)

// Op names one kind of operation.
type Op string

// The values of Op.
const (
	OpGet    Op = "get"
	OpList   Op = "list" // one page
	OpCommit Op = "commit"
)

// Config configures a Table. Endpoint and the credentials are required.
type Config struct {
	Endpoint  string // URL
	Region    string // empty means "local"
	AccessKey string
	SecretKey string
	Table     string // empty means "azurering"
	// Timeout bounds one request. Zero means 5 s.
	Timeout time.Duration
	// Count is called after each request with the number of rows read or
	// written and the result. It is called from several goroutines.
	Count func(op Op, rows int, code codes.Code)
	// Transport replaces the transport to the service, for TLS settings. It
	// must not repeat requests.
	Transport http.RoundTripper
}

// Table implements core.Table. It is safe for concurrent use.
type Table struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
	count   func(Op, int, codes.Code)
}

var _ core.Table = (*Table)(nil)

// New returns a table. Errors carry SettingsInvalid.
func New(cfg Config) (*Table, error) {
	if u, err := url.Parse(cfg.Endpoint); err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "dynamo: endpoint %q is not a URL", cfg.Endpoint)
	}
	if cfg.AccessKey == "" || cfg.SecretKey == "" {
		return nil, codes.New(codes.SettingsInvalid, "dynamo: credentials are required")
	}
	if cfg.Region == "" {
		cfg.Region = "local"
	}
	if cfg.Table == "" {
		cfg.Table = "azurering"
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 5 * time.Second
	}
	if cfg.Count == nil {
		cfg.Count = func(Op, int, codes.Code) {}
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute}
	}
	return &Table{client: newClient(cfg), name: cfg.Table, timeout: cfg.Timeout, count: cfg.Count}, nil
}

// newClient builds the client from the settings alone: no environment, no
// files and no metadata service. It never repeats a request, because a
// repeat of a commit whose answer was lost would come back as a conflict.
func newClient(cfg Config) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: cfg.Transport, CheckRedirect: noRedirect},
		EndpointDiscovery: dynamodb.EndpointDiscoveryOptions{
			EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled,
		},
	})
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// begin bounds a request and watches whether it got a connection.
func (t *Table) begin(ctx context.Context) (context.Context, context.CancelFunc, *atomic.Bool) {
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	return ctx, cancel, connected
}
