package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/sheets"
)

// maxSheetBytes is the size limit of a sheet file in bytes. A file with
// 930,000 client address blocks takes about 60 MB.
const maxSheetBytes = 256 << 20

// Control carries out the requests of operators on an entry host.
// Implementations must be safe for concurrent use.
type Control interface {
	// Status returns the state of the system as the host sees it.
	Status(ctx context.Context) (Status, error)
	// Sheet returns the sheet in force and its version. The version is zero
	// if the host has no configuration yet.
	Sheet() (core.Sheet, uint64)
	// PublishSheet publishes a sheet if base is zero or the version in force.
	PublishSheet(ctx context.Context, s core.Sheet, base uint64) (PublishResult, error)
	// PublishChange publishes a change of the sheet in force.
	PublishChange(ctx context.Context, c core.Change) (PublishResult, error)
	// Withdraw withdraws a key for good.
	Withdraw(ctx context.Context, key core.KeyID) (WithdrawResult, error)
	// Withdrawn reports whether a key is withdrawn.
	Withdrawn(key core.KeyID) bool
}

// Config configures a Handler. All fields but Secret are required.
type Config struct {
	Control Control
	// Secret is the operators' shared credential. If it is empty, the handler
	// accepts all requests, and the listener must check client certificates.
	Secret  string
	Metrics http.Handler // serves GET /metrics
	Log     logrus.FieldLogger
}

// Handler serves the operator interface. It is safe for concurrent use.
type Handler struct {
	cfg          Config
	secretDigest [32]byte
	engine       *gin.Engine
}

// New returns a handler. It switches gin to release mode.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, secretDigest: sha256.Sum256([]byte(cfg.Secret)), engine: gin.New()}
	h.engine.Use(h.authenticate)
	h.engine.GET("/metrics", gin.WrapH(cfg.Metrics))
	h.engine.GET("/v1/status", h.getStatus)
	h.engine.GET("/v1/sheet", h.getSheet)
	h.engine.POST("/v1/sheet", h.applySheet)
	h.engine.POST("/v1/sheet/check", h.checkSheet)
	h.engine.GET("/v1/keys", h.listKeys)
	h.engine.POST("/v1/keys", h.grantKey)
	h.engine.POST("/v1/keys/withdraw", h.withdrawKey)
	h.engine.POST("/v1/shifts", h.addShift)
	h.engine.POST("/v1/drains", h.addDrain)
	h.engine.POST("/v1/resume", h.resumeTarget)
	h.engine.NoRoute(func(c *gin.Context) {
		h.writeError(c, codes.New(codes.RouteUnknown, "admin: no such method and path"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.engine.ServeHTTP(w, r) }

// authenticate refuses requests without the operator credential. It compares
// digests in constant time, so that timing reveals nothing of the secret.
func (h *Handler) authenticate(c *gin.Context) {
	if h.cfg.Secret == "" {
		return
	}
	credential := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(credential))
	if subtle.ConstantTimeCompare(sum[:], h.secretDigest[:]) != 1 {
		h.writeError(c, codes.New(codes.OperatorDenied, "admin: the operator credential is missing or wrong"))
	}
}

// httpStatuses maps result codes to HTTP statuses. Other codes mean that the
// platform or a peer failed and become status 503.
var httpStatuses = map[codes.Code]int{
	codes.OperatorDenied:  http.StatusUnauthorized,
	codes.RouteUnknown:    http.StatusNotFound,
	codes.RequestBad:      http.StatusBadRequest,
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.SheetInvalid:    http.StatusUnprocessableEntity,
	codes.ChangeInvalid:   http.StatusUnprocessableEntity,
	codes.VersionConflict: http.StatusConflict,
}

func (h *Handler) writeError(c *gin.Context, err error) {
	status, ok := httpStatuses[codes.Of(err)]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	c.AbortWithStatusJSON(status, errorJSON{Code: int(codes.Of(err)), Message: err.Error()})
}

// finish logs the outcome of a change and writes the response.
func (h *Handler) finish(c *gin.Context, event string, response any, err error) {
	entry := h.cfg.Log.WithFields(logrus.Fields{"event": event, "operator": c.Request.RemoteAddr, "code": int(codes.Of(err))})
	if err != nil {
		entry.WithError(err).Warn("operator request failed")
		h.writeError(c, err)
		return
	}
	entry.Info("operator request completed")
	c.JSON(http.StatusOK, response)
}

func (h *Handler) getStatus(c *gin.Context) {
	s, err := h.cfg.Control.Status(c.Request.Context())
	if err != nil {
		h.writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, statusToWire(s))
}

func (h *Handler) getSheet(c *gin.Context) {
	s, version := h.cfg.Control.Sheet()
	if version == 0 {
		h.writeError(c, codes.New(codes.NoConfig, "admin: the entry host has no configuration yet"))
		return
	}
	raw, err := sheets.Format(s)
	if err != nil {
		h.writeError(c, err)
		return
	}
	c.Header("Azurering-Version", strconv.FormatUint(version, 10))
	c.Data(http.StatusOK, "application/toml", raw)
}

func (h *Handler) readSheet(c *gin.Context) (core.Sheet, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxSheetBytes))
	if err != nil {
		return core.Sheet{}, codes.Wrap(err, codes.RequestBad, "admin: sheet cannot be read")
	}
	return sheets.Parse(raw)
}

func (h *Handler) checkSheet(c *gin.Context) {
	if _, err := h.readSheet(c); err != nil {
		h.writeError(c, err)
		return
	}
	_, version := h.cfg.Control.Sheet()
	c.JSON(http.StatusOK, publishedJSON{Version: version})
}

func (h *Handler) applySheet(c *gin.Context) {
	base, err := strconv.ParseUint(c.DefaultQuery("base", "0"), 10, 64)
	if err != nil {
		h.writeError(c, codes.New(codes.RequestBad, "admin: base must be a version number"))
		return
	}
	s, err := h.readSheet(c)
	if err != nil {
		h.writeError(c, err)
		return
	}
	p, err := h.cfg.Control.PublishSheet(c.Request.Context(), s, base)
	h.finish(c, "sheet-apply", publishedToWire(p), err)
}

// readJSON decodes a JSON body of at most 1 MiB into a value. If the body is
// malformed or has unknown fields, it writes the error response and returns
// false.
func (h *Handler) readJSON(c *gin.Context, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		h.writeError(c, codes.Wrap(err, codes.RequestBad, "admin: body is malformed or has unknown fields"))
		return false
	}
	return true
}

func (h *Handler) listKeys(c *gin.Context) {
	s, _ := h.cfg.Control.Sheet()
	out := make([]keyJSON, 0, len(s.Keys))
	for _, k := range s.Keys {
		out = append(out, keyJSON{Name: string(k.Name), Workspace: string(k.Workspace), Withdrawn: h.cfg.Control.Withdrawn(k.Name)})
	}
	c.JSON(http.StatusOK, out)
}

func (h *Handler) publish(c *gin.Context, event string, change core.Change) {
	p, err := h.cfg.Control.PublishChange(c.Request.Context(), change)
	h.finish(c, event, publishedToWire(p), err)
}

func (h *Handler) grantKey(c *gin.Context) {
	var g grantJSON
	if !h.readJSON(c, &g) {
		return
	}
	k, err := keyFromWire(g)
	if err == nil && h.cfg.Control.Withdrawn(k.Name) {
		err = codes.New(codes.ChangeInvalid, "admin: key %q was withdrawn; key names are not used again", k.Name)
	}
	if err != nil {
		h.writeError(c, err)
		return
	}
	h.publish(c, "key-grant", core.Change{Kind: core.ChangeGrant, Key: k})
}

func (h *Handler) withdrawKey(c *gin.Context) {
	var r withdrawJSON
	if !h.readJSON(c, &r) {
		return
	}
	w, err := h.cfg.Control.Withdraw(c.Request.Context(), core.KeyID(r.Name))
	h.finish(c, "key-withdraw", withdrawnToWire(w), err)
}

func (h *Handler) addShift(c *gin.Context) {
	var v shiftJSON
	if h.readJSON(c, &v) {
		h.publish(c, "shift", core.Change{Kind: core.ChangeShift, Shift: shiftFromWire(v)})
	}
}

func (h *Handler) addDrain(c *gin.Context) {
	var r drainRequestJSON
	if !h.readJSON(c, &r) {
		return
	}
	d, err := drainFromWire(r)
	if err != nil {
		h.writeError(c, err)
		return
	}
	h.publish(c, "drain", core.Change{Kind: core.ChangeDrain, Drain: d})
}

func (h *Handler) resumeTarget(c *gin.Context) {
	var r resumeJSON
	if h.readJSON(c, &r) {
		h.publish(c, "resume", core.Change{Kind: core.ChangeResume, Target: r.Target})
	}
}
