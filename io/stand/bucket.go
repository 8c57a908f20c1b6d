package stand

import (
	"crypto/md5" // for ETags, as in S3
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxObjectBytes limits the size of an object.
const maxObjectBytes = 256 << 20

type objectStore struct {
	mu      sync.Mutex
	buckets map[string]map[string][]byte
}

func (o *objectStore) init(cfg Config) {
	o.buckets = make(map[string]map[string][]byte)
	for _, name := range cfg.Buckets {
		o.buckets[name] = make(map[string][]byte)
	}
}

// s3Error is an error response of the S3 API.
type s3Error struct {
	status int
	Code   string
	Text   string
}

func (e s3Error) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(e.status)
	_ = xml.NewEncoder(w).Encode(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: e.Code, Message: e.Text})
}

// serveObject handles the supported S3 requests: PUT and GET of an object with
// path-style addressing.
func (s *Stand) serveObject(w http.ResponseWriter, r *http.Request) {
	op := operation{service: ServiceObjects, identity: callerID(r), units: 1, write: r.Method == http.MethodPut}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, ObjectsPath+"/"), "/")
	if e := s.validateObjectRequest(r, op, bucket, key); e != nil {
		e.write(w)
		return
	}
	var body []byte
	if op.write {
		var e *s3Error
		if body, e = readObjectBody(w, r); e != nil {
			e.write(w)
			return
		}
	}
	switch s.injectBefore(op) {
	case throttle:
		s3Error{http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate."}.write(w)
		return
	case fail:
		s3Error{http.StatusInternalServerError, "InternalError", "We encountered an internal error."}.write(w)
		return
	}
	if op.write {
		s.putObject(w, op, bucket, key, body)
		return
	}
	s.getObject(w, op, bucket, key)
}

func (s *Stand) validateObjectRequest(r *http.Request, op operation, bucket, key string) *s3Error {
	if op.identity == "" {
		return &s3Error{http.StatusForbidden, "AccessDenied", "request is not signed"}
	}
	if r.Method != http.MethodPut && r.Method != http.MethodGet {
		return &s3Error{http.StatusNotImplemented, "NotImplemented", "method is not supported"}
	}
	if s.objects.buckets[bucket] == nil {
		return &s3Error{http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist"}
	}
	if key == "" {
		return &s3Error{http.StatusBadRequest, "InvalidURI", "object key is missing"}
	}
	return nil
}

// readObjectBody reads the body of a PUT and verifies the X-Amz-Content-Sha256
// header.
func readObjectBody(w http.ResponseWriter, r *http.Request) ([]byte, *s3Error) {
	hash := r.Header.Get("X-Amz-Content-Sha256")
	if strings.HasPrefix(hash, "STREAMING-") || r.Header.Get("Content-Encoding") != "" {
		return nil, &s3Error{http.StatusNotImplemented, "NotImplemented", "encoded bodies are not supported"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		return nil, &s3Error{http.StatusBadRequest, "IncompleteBody", err.Error()}
	}
	if sum := sha256.Sum256(body); hash != "UNSIGNED-PAYLOAD" && hash != hex.EncodeToString(sum[:]) {
		return nil, &s3Error{http.StatusBadRequest, "XAmzContentSHA256Mismatch", "body does not match X-Amz-Content-Sha256"}
	}
	return body, nil
}

func (s *Stand) putObject(w http.ResponseWriter, op operation, bucket, key string, body []byte) {
	s.objects.mu.Lock()
	s.objects.buckets[bucket][key] = body
	s.objects.mu.Unlock()
	if s.injectAfter(op) == fail {
		s3Error{http.StatusInternalServerError, "InternalError", "We encountered an internal error."}.write(w)
		return
	}
	w.Header().Set("ETag", etag(body))
	w.WriteHeader(http.StatusOK)
}

func (s *Stand) getObject(w http.ResponseWriter, op operation, bucket, key string) {
	s.objects.mu.Lock()
	body, ok := s.objects.buckets[bucket][key]
	s.objects.mu.Unlock()
	if !ok {
		s3Error{http.StatusNotFound, "NoSuchKey", "The specified key does not exist."}.write(w)
		return
	}
	w.Header().Set("ETag", etag(body))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, ok := s.faults.consume(FaultTruncate, op); ok && len(body) > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		dropConnection()
	}
	_, _ = w.Write(body)
}

func etag(body []byte) string {
	sum := md5.Sum(body)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}
