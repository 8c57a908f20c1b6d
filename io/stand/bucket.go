package stand

import (
	"crypto/md5" // the ETag of S3
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxObject bounds an object in bytes.
const maxObject = 256 << 20

type objects struct {
	mu      sync.Mutex
	buckets map[string]map[string][]byte
}

func (o *objects) init(cfg Config) {
	o.buckets = make(map[string]map[string][]byte)
	for _, name := range cfg.Buckets {
		o.buckets[name] = make(map[string][]byte)
	}
}

// bucketError is an error of the S3 API.
type bucketError struct {
	status int
	Code   string
	Text   string
}

func (e bucketError) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(e.status)
	_ = xml.NewEncoder(w).Encode(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: e.Code, Message: e.Text})
}

// serveObject serves the subset of the S3 API: PUT and GET of objects with
// the bucket in the path.
func (s *Stand) serveObject(w http.ResponseWriter, r *http.Request) {
	op := operation{service: Objects, identity: identity(r), units: 1, write: r.Method == http.MethodPut}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, ObjectsPath+"/"), "/")
	if e := s.checkObject(r, op, bucket, key); e != nil {
		e.write(w)
		return
	}
	var body []byte
	if op.write {
		var e *bucketError
		if body, e = readObject(w, r); e != nil {
			e.write(w)
			return
		}
	}
	switch s.admit(op) {
	case throttle:
		bucketError{http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate."}.write(w)
		return
	case fail:
		bucketError{http.StatusInternalServerError, "InternalError", "We encountered an internal error."}.write(w)
		return
	}
	if op.write {
		s.putObject(w, op, bucket, key, body)
		return
	}
	s.getObject(w, op, bucket, key)
}

func (s *Stand) checkObject(r *http.Request, op operation, bucket, key string) *bucketError {
	if op.identity == "" {
		return &bucketError{http.StatusForbidden, "AccessDenied", "request is not signed"}
	}
	if r.Method != http.MethodPut && r.Method != http.MethodGet {
		return &bucketError{http.StatusNotImplemented, "NotImplemented", "method is outside the subset"}
	}
	if s.objects.buckets[bucket] == nil {
		return &bucketError{http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist"}
	}
	if key == "" {
		return &bucketError{http.StatusBadRequest, "InvalidURI", "no object is named"}
	}
	return nil
}

// readObject reads the body of a PUT and checks it against the signed hash.
func readObject(w http.ResponseWriter, r *http.Request) ([]byte, *bucketError) {
	hash := r.Header.Get("X-Amz-Content-Sha256")
	if strings.HasPrefix(hash, "STREAMING-") || r.Header.Get("Content-Encoding") != "" {
		return nil, &bucketError{http.StatusNotImplemented, "NotImplemented", "encoded bodies are outside the subset"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		return nil, &bucketError{http.StatusBadRequest, "IncompleteBody", err.Error()}
	}
	if sum := sha256.Sum256(body); hash != "UNSIGNED-PAYLOAD" && hash != hex.EncodeToString(sum[:]) {
		return nil, &bucketError{http.StatusBadRequest, "XAmzContentSHA256Mismatch", "the body does not match its hash"}
	}
	return body, nil
}

func (s *Stand) putObject(w http.ResponseWriter, op operation, bucket, key string, body []byte) {
	s.objects.mu.Lock()
	s.objects.buckets[bucket][key] = body
	s.objects.mu.Unlock()
	if s.settle(op) == fail {
		bucketError{http.StatusInternalServerError, "InternalError", "We encountered an internal error."}.write(w)
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
		bucketError{http.StatusNotFound, "NoSuchKey", "The specified key does not exist."}.write(w)
		return
	}
	w.Header().Set("ETag", etag(body))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, ok := s.faults.hit(FaultTruncate, op); ok && len(body) > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	_, _ = w.Write(body)
}

func etag(body []byte) string {
	sum := md5.Sum(body)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}
