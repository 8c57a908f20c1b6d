// Package bucket implements core.Objects with the S3 API. Entry hosts use it to
// read and write objects in one bucket.
package bucket

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/cloud"
)

// maxIdleConns limits the idle connections to the object store.
const maxIdleConns = 4

// Op is the operation that a request performs, as reported to Config.Count.
type Op string

// The operations.
const (
	OpPut Op = "put"
	OpGet Op = "get"
)

// Config configures Objects. Endpoint, AccessKey and SecretKey are required.
type Config struct {
	Endpoint  string // URL
	Region    string // empty means "local"
	AccessKey string
	SecretKey string
	Bucket    string // empty means "azurering"
	// Timeout limits the duration of one request including the transfer of the
	// body. Zero means 30 s.
	Timeout time.Duration
	// MaxObjectBytes is the maximum size of an object in bytes. Zero means 64 MiB.
	MaxObjectBytes int64
	// OnRequest is called after each request with the size of the body in bytes
	// and the result code. It must be safe for concurrent use.
	OnRequest func(op Op, size int, code codes.Code)
	// Transport replaces the default HTTP transport, for example to set TLS
	// options.
	Transport http.RoundTripper
}

// Objects is a client of one S3 bucket. It is safe for concurrent use.
type Objects struct {
	client *s3.Client
	cfg    Config
}

var _ core.ObjectStore = (*Objects)(nil)

// New returns Objects without connecting to the object store. Errors have the
// code SettingsInvalid.
func New(cfg Config) (*Objects, error) {
	if u, err := url.Parse(cfg.Endpoint); err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "bucket: endpoint %q is not a URL with a host", cfg.Endpoint)
	}
	if cfg.AccessKey == "" || cfg.SecretKey == "" {
		return nil, codes.New(codes.SettingsInvalid, "bucket: access key and secret key are required")
	}
	if cfg.Region == "" {
		cfg.Region = "local"
	}
	if cfg.Bucket == "" {
		cfg.Bucket = "azurering"
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 30 * time.Second
	}
	if cfg.MaxObjectBytes <= 0 {
		cfg.MaxObjectBytes = 64 << 20
	}
	if cfg.OnRequest == nil {
		cfg.OnRequest = func(Op, int, codes.Code) {}
	}
	return &Objects{client: newClient(cfg), cfg: cfg}, nil
}

// newClient configures the client from cfg only; it ignores environment
// variables, AWS configuration files and the instance metadata service. The
// client never retries a request.
func newClient(cfg Config) *s3.Client {
	return s3.New(s3.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		UsePathStyle: true,
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   cloud.NewHTTPClient(cfg.Transport, maxIdleConns),
		// S3 checksums are optional: object names are derived from the content,
		// so readers verify bodies against the names, and some S3-compatible
		// services don't support the checksums.
		RequestChecksumCalculation:                aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation:                aws.ResponseChecksumValidationWhenRequired,
		ContinueHeaderThresholdBytes:              -1,
		DisableLogOutputChecksumValidationSkipped: true,
	})
}

// Put implements core.Objects. A body above MaxBody or an empty name is not sent
// and fails with Internal. StoreUnknown means that the object may have been
// stored.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if name == "" || int64(len(body)) > o.cfg.MaxObjectBytes {
		return codes.New(codes.Internal, "bucket: object %q of %d bytes cannot be stored: its name is empty or it exceeds %d bytes", name, len(body), o.cfg.MaxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timeout)
	defer cancel()
	ctx, connected := cloud.TraceConn(ctx)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.cfg.Bucket), Key: aws.String(name),
		Body: bytes.NewReader(body), ContentLength: aws.Int64(int64(len(body))),
	})
	if err != nil {
		err = putError(err, name, connected())
	}
	o.cfg.OnRequest(OpPut, len(body), codes.Of(err))
	return err
}

// Get implements core.Objects. A body that is incomplete or above MaxBody fails
// with StoreDown.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if name == "" {
		return nil, codes.New(codes.StoreAbsent, "bucket: object name is empty")
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timeout)
	defer cancel()
	body, err := o.download(ctx, name)
	o.cfg.OnRequest(OpGet, len(body), codes.Of(err))
	return body, err
}

func (o *Objects) download(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.cfg.Bucket), Key: aws.String(name)})
	if err != nil {
		return nil, getError(err, name)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, o.cfg.MaxObjectBytes+1))
	if err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "bucket: body of object %s is incomplete", name)
	}
	if int64(len(body)) > o.cfg.MaxObjectBytes {
		return nil, codes.New(codes.StoreDown, "bucket: body of object %s exceeds %d bytes", name, o.cfg.MaxObjectBytes)
	}
	if out.ContentLength != nil && *out.ContentLength != int64(len(body)) {
		return nil, codes.New(codes.StoreDown, "bucket: body of object %s has %d bytes; Content-Length is %d", name, len(body), *out.ContentLength)
	}
	return body, nil
}

// putError converts the SDK's error for a put to an error with a result code.
// The code is StoreUnknown unless the error proves that nothing was written.
func putError(err error, name string, connected bool) error {
	if !connected {
		return codes.Wrap(err, codes.StoreDown, "bucket: put of object %s was not sent: no connection", name)
	}
	if throttled(err) {
		return codes.Wrap(err, codes.StoreLimit, "bucket: put of object %s was throttled", name)
	}
	if status := cloud.StatusCode(err); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return codes.Wrap(err, codes.StoreDown, "bucket: put of object %s was rejected", name)
	}
	return codes.Wrap(err, codes.StoreUnknown, "bucket: outcome of the put of object %s is unknown", name)
}

func getError(err error, name string) error {
	if throttled(err) {
		return codes.Wrap(err, codes.StoreLimit, "bucket: get of object %s was throttled", name)
	}
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && apiErr.ErrorCode() == "NoSuchKey" {
		return codes.Wrap(err, codes.StoreAbsent, "bucket: object %s does not exist", name)
	}
	return codes.Wrap(err, codes.StoreDown, "bucket: get of object %s failed", name)
}

// throttled reports whether the service rejected a request because of a rate
// limit, in which case nothing was written. S3 sends the error code SlowDown
// with status 503; a 503 without it doesn't count as throttled.
func throttled(err error) bool {
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && (apiErr.ErrorCode() == "SlowDown" || apiErr.ErrorCode() == "RequestLimitExceeded") {
		return true
	}
	return cloud.StatusCode(err) == http.StatusTooManyRequests
}
