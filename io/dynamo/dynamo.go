// Package dynamo implements core.Table with the DynamoDB API. Entry hosts keep
// the state that they share in it.
//
// Each row is one item. The space is the partition key and the row's key is
// the sort key; version, token and value are further attributes.
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

// maxIdleConns limits the idle connections to DynamoDB.
const maxIdleConns = 32

// Op is the operation that a request performs, as reported to Config.Count.
type Op string

// The operations. A List call reports one OpList for each page.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCommit Op = "commit"
)

// Config configures a Table. Endpoint, AccessKey and SecretKey are required.
type Config struct {
	Endpoint  string // URL
	Region    string // empty means "local"
	AccessKey string
	SecretKey string
	TableName string // empty means "azurering"
	// Timeout limits the duration of one request. Zero means 5 s.
	Timeout time.Duration
	// OnRequest is called after each request with the number of rows read or
	// written and the result code. It must be safe for concurrent use.
	OnRequest func(op Op, rows int, code codes.Code)
	// Transport replaces the default HTTP transport, for example to set TLS
	// options. It must not retry requests, because a retried commit whose
	// first response was lost would be reported as a conflict.
	Transport http.RoundTripper
}

// Table is a client of one DynamoDB table. It is safe for concurrent use.
type Table struct {
	client    *dynamodb.Client
	name      string
	timeout   time.Duration
	onRequest func(Op, int, codes.Code)
}

var _ core.Table = (*Table)(nil)

// New returns a Table without connecting to DynamoDB. Errors have the code
// SettingsInvalid.
func New(cfg Config) (*Table, error) {
	u, err := url.Parse(cfg.Endpoint)
	if err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "dynamo: endpoint %q is not a URL with a host", cfg.Endpoint)
	}
	if cfg.AccessKey == "" || cfg.SecretKey == "" {
		return nil, codes.New(codes.SettingsInvalid, "dynamo: access key and secret key are required")
	}
	if cfg.Region == "" {
		cfg.Region = "local"
	}
	if cfg.TableName == "" {
		cfg.TableName = "azurering"
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 5 * time.Second
	}
	if cfg.OnRequest == nil {
		cfg.OnRequest = func(Op, int, codes.Code) {}
	}
	return &Table{client: newClient(cfg, *u), name: cfg.TableName, timeout: cfg.Timeout, onRequest: cfg.OnRequest}, nil
}

// newClient configures the client from cfg only; it ignores environment
// variables, AWS configuration files and the instance metadata service. The
// client never retries a request, because a retried commit whose first
// response was lost would be reported as a conflict.
func newClient(cfg Config, endpoint url.URL) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		EndpointResolverV2: fixedEndpoint{endpoint},
		Region:             cfg.Region,
		Credentials:        credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:            aws.NopRetryer{},
		HTTPClient:         cloud.NewHTTPClient(cfg.Transport, maxIdleConns),
		EndpointDiscovery: dynamodb.EndpointDiscoveryOptions{
			EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled,
		},
	})
}

// fixedEndpoint replaces the SDK's endpoint rules, which resolve the region
// again for each request and account for a large part of its time.
type fixedEndpoint struct{ url url.URL }

// ResolveEndpoint implements dynamodb.EndpointResolverV2.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (endpoints.Endpoint, error) {
	return endpoints.Endpoint{URI: f.url}, nil
}

// withRequestTimeout returns the context for one request. The returned
// function reports whether the request obtained a connection.
func (t *Table) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc, func() bool) {
	ctx, connected := cloud.TraceConn(ctx)
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	return ctx, cancel, connected
}
