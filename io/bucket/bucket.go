// Package bucket implements core.Objects over the S3 API.
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

// maxIdle bounds the idle connections to the service.
const maxIdle = 4

// Op names one kind of operation.
type Op string

// The values of Op.
const (
	OpPut Op = "put"
	OpGet Op = "get"
)

// Config configures Objects. Endpoint and the credentials are required.
type Config struct {
	Endpoint  string // URL
	Region    string // empty means "local"
	AccessKey string
	SecretKey string
	Bucket    string // empty means "azurering"
	// Timeout bounds one request with its body. Zero means 30 s.
	Timeout time.Duration
	// MaxBody bounds the bytes of a body. Zero means 64 MiB.
	MaxBody int64
	// Count is called after each request with the number of bytes of the
	// body and the result. It is called from several goroutines.
	Count func(op Op, size int, code codes.Code)
	// Transport replaces the transport to the service, for TLS settings.
	Transport http.RoundTripper
}

// Objects implements core.Objects. It is safe for concurrent use.
type Objects struct {
	client *s3.Client
	cfg    Config
}

var _ core.ObjectStore = (*Objects)(nil)

// New returns the object store. Errors carry SettingsInvalid.
func New(cfg Config) (*Objects, error) {
	if u, err := url.Parse(cfg.Endpoint); err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "bucket: endpoint %q is not a URL", cfg.Endpoint)
	}
	if cfg.AccessKey == "" || cfg.SecretKey == "" {
		return nil, codes.New(codes.SettingsInvalid, "bucket: credentials are required")
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
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = 64 << 20
	}
	if cfg.Count == nil {
		cfg.Count = func(Op, int, codes.Code) {}
	}
	return &Objects{client: newClient(cfg), cfg: cfg}, nil
}

// newClient builds the client from the settings alone: no environment, no
// files and no metadata service.
func newClient(cfg Config) *s3.Client {
	return s3.New(s3.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		UsePathStyle: true,
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   cloud.NewClient(cfg.Transport, maxIdle),
		// Names are derived from the content, so readers check bodies against
		// their names; services that only resemble S3 lack the checksums.
		RequestChecksumCalculation:                aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation:                aws.ResponseChecksumValidationWhenRequired,
		ContinueHeaderThresholdBytes:              -1,
		DisableLogOutputChecksumValidationSkipped: true,
	})
}

// Put implements core.Objects. A body over the bound or an empty name gets
// Internal and is not sent.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if name == "" || int64(len(body)) > o.cfg.MaxBody {
		return codes.New(codes.Internal, "bucket: object %q of %d bytes cannot be stored; the bound is %d", name, len(body), o.cfg.MaxBody)
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timeout)
	defer cancel()
	ctx, connected := cloud.Watch(ctx)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.cfg.Bucket), Key: aws.String(name),
		Body: bytes.NewReader(body), ContentLength: aws.Int64(int64(len(body))),
	})
	if err != nil {
		err = putError(err, name, connected())
	}
	o.cfg.Count(OpPut, len(body), codes.Of(err))
	return err
}

// Get implements core.Objects. A body that is not whole gets StoreDown.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if name == "" {
		return nil, codes.New(codes.StoreAbsent, "bucket: no object without a name")
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timeout)
	defer cancel()
	body, err := o.get(ctx, name)
	o.cfg.Count(OpGet, len(body), codes.Of(err))
	return body, err
}

func (o *Objects) get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.cfg.Bucket), Key: aws.String(name)})
	if err != nil {
		return nil, getError(err, name)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, o.cfg.MaxBody+1))
	if err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "bucket: body of %s is not whole", name)
	}
	if int64(len(body)) > o.cfg.MaxBody {
		return nil, codes.New(codes.StoreDown, "bucket: body of %s is over the bound of %d", name, o.cfg.MaxBody)
	}
	if out.ContentLength != nil && *out.ContentLength != int64(len(body)) {
		return nil, codes.New(codes.StoreDown, "bucket: body of %s has %d bytes, not %d", name, len(body), *out.ContentLength)
	}
	return body, nil
}

func putError(err error, name string, connected bool) error {
	if !connected {
		return codes.Wrap(err, codes.StoreDown, "bucket: put of %s was not sent", name)
	}
	if throttled(err) {
		return codes.Wrap(err, codes.StoreLimit, "bucket: put of %s was throttled", name)
	}
	if s := cloud.Status(err); s >= http.StatusBadRequest && s < http.StatusInternalServerError {
		return codes.Wrap(err, codes.StoreDown, "bucket: put of %s was refused", name)
	}
	return codes.Wrap(err, codes.StoreUnknown, "bucket: outcome of the put of %s is unknown", name)
}

func getError(err error, name string) error {
	if throttled(err) {
		return codes.Wrap(err, codes.StoreLimit, "bucket: get of %s was throttled", name)
	}
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == "NoSuchKey" {
		return codes.Wrap(err, codes.StoreAbsent, "bucket: no object %s", name)
	}
	return codes.Wrap(err, codes.StoreDown, "bucket: get of %s failed", name)
}

// throttled reports whether the service refused the request because of its
// rate. S3 sends SlowDown with the status 503, which says that nothing was
// written.
func throttled(err error) bool {
	var api smithy.APIError
	if errors.As(err, &api) && (api.ErrorCode() == "SlowDown" || api.ErrorCode() == "RequestLimitExceeded") {
		return true
	}
	return cloud.Status(err) == http.StatusTooManyRequests
}
