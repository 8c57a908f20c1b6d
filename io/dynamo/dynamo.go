// Package dynamo implements core.Table over the DynamoDB API.
//
// A row is one item: its space is the partition key, its key the sort key,
// and version, token and value are attributes.
package dynamo

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	endpoints "github.com/aws/smithy-go/endpoints"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/cloud"
)

// maxIdle bounds the idle connections to the service.
const maxIdle = 32

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
	u, err := url.Parse(cfg.Endpoint)
	if err != nil || u.Host == "" {
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
	return &Table{client: newClient(cfg, *u), name: cfg.Table, timeout: cfg.Timeout, count: cfg.Count}, nil
}

// newClient builds the client from the settings alone: no environment, no
// files and no metadata service. It never repeats a request, because a
// repeat of a commit whose answer was lost would come back as a conflict.
func newClient(cfg Config, endpoint url.URL) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		EndpointResolverV2: fixedEndpoint{endpoint},
		Region:             cfg.Region,
		Credentials:        credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:            aws.NopRetryer{},
		HTTPClient:         cloud.NewClient(cfg.Transport, maxIdle),
		EndpointDiscovery: dynamodb.EndpointDiscoveryOptions{
			EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled,
		},
	})
}

// fixedEndpoint replaces the endpoint rules of the SDK, which look up the
// region in each request and took a good part of its time.
type fixedEndpoint struct{ url url.URL }

// ResolveEndpoint implements dynamodb.EndpointResolverV2.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (endpoints.Endpoint, error) {
	return endpoints.Endpoint{URI: f.url}, nil
}

// begin bounds a request and watches whether it got a connection.
func (t *Table) begin(ctx context.Context) (context.Context, context.CancelFunc, func() bool) {
	ctx, connected := cloud.Watch(ctx)
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	return ctx, cancel, connected
}
