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

// maxSheet bounds a sheet file: 930,000 client blocks take about 60 MB.
const maxSheet = 256 << 20

// Control is what operators can do on a host. It is safe for concurrent
// use.
type Control interface {
	Status(ctx context.Context) (Status, error)
	// Sheet returns the sheet in force and its version.
	Sheet() (core.Sheet, uint64)
	PublishSheet(ctx context.Context, s core.Sheet, base uint64) (PublishResult, error)
	PublishChange(ctx context.Context, c core.Change) (PublishResult, error)
	Withdraw(ctx context.Context, key core.KeyID) (WithdrawResult, error)
	// Withdrawn reports whether a key is withdrawn.
	Withdrawn(key core.KeyID) bool
}

// Config configures the interface.
type Config struct {
	Control Control
	// Secret is the operators' shared credential. Empty means that the
	// listener checks client certificates instead.
	Secret  string
	Metrics http.Handler
	Log     logrus.FieldLogger
}

// Handler serves operators. It is safe for concurrent use.
type Handler struct {
	cfg    Config
	digest [32]byte
	engine *gin.Engine
}

// New returns a handler.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, digest: sha256.Sum256([]byte(cfg.Secret)), engine: gin.New()}
	h.engine.Use(h.authenticate)
	h.engine.GET("/metrics", gin.WrapH(cfg.Metrics))
	h.engine.GET("/v1/status", h.status)
	h.engine.GET("/v1/sheet", h.sheet)
	h.engine.POST("/v1/sheet", h.applySheet)
	h.engine.POST("/v1/sheet/check", h.checkSheet)
	h.engine.GET("/v1/keys", h.keys)
	h.engine.POST("/v1/keys", h.grant)
	h.engine.POST("/v1/keys/withdraw", h.withdraw)
	h.engine.POST("/v1/shifts", h.shift)
	h.engine.POST("/v1/drains", h.drain)
	h.engine.POST("/v1/resume", h.resume)
	h.engine.NoRoute(func(c *gin.Context) {
		h.refuse(c, codes.New(codes.RouteUnknown, "admin: no such path"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.engine.ServeHTTP(w, r) }

func (h *Handler) authenticate(c *gin.Context) {
	if h.cfg.Secret == "" {
		return
	}
	given := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	if subtle.ConstantTimeCompare(sum[:], h.digest[:]) != 1 {
		h.refuse(c, codes.New(codes.OperatorDenied, "admin: the operator credential is missing or wrong"))
	}
}

// statuses maps result codes to HTTP statuses; other codes mean that the
// platform or a peer failed.
var statuses = map[codes.Code]int{
	codes.OperatorDenied:  http.StatusUnauthorized,
	codes.RouteUnknown:    http.StatusNotFound,
	codes.RequestBad:      http.StatusBadRequest,
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.SheetInvalid:    http.StatusUnprocessableEntity,
	codes.ChangeInvalid:   http.StatusUnprocessableEntity,
	codes.VersionConflict: http.StatusConflict,
}

func (h *Handler) refuse(c *gin.Context, err error) {
	status, ok := statuses[codes.Of(err)]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	c.AbortWithStatusJSON(status, errorJSON{Code: int(codes.Of(err)), Message: err.Error()})
}

// done answers a change and logs it.
func (h *Handler) done(c *gin.Context, event string, answer any, err error) {
	entry := h.cfg.Log.WithFields(logrus.Fields{"event": event, "operator": c.Request.RemoteAddr, "code": int(codes.Of(err))})
	if err != nil {
		entry.WithError(err).Warn("operator request refused")
		h.refuse(c, err)
		return
	}
	entry.Info("operator request done")
	c.JSON(http.StatusOK, answer)
}

func (h *Handler) status(c *gin.Context) {
	s, err := h.cfg.Control.Status(c.Request.Context())
	if err != nil {
		h.refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, fromStatus(s))
}

func (h *Handler) sheet(c *gin.Context) {
	s, version := h.cfg.Control.Sheet()
	if version == 0 {
		h.refuse(c, codes.New(codes.NoConfig, "admin: the host has no configuration yet"))
		return
	}
	raw, err := sheets.Format(s)
	if err != nil {
		h.refuse(c, err)
		return
	}
	c.Header("Azurering-Version", strconv.FormatUint(version, 10))
	c.Data(http.StatusOK, "application/toml", raw)
}

func (h *Handler) readSheet(c *gin.Context) (core.Sheet, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxSheet))
	if err != nil {
		return core.Sheet{}, codes.Wrap(err, codes.RequestBad, "admin: sheet cannot be read")
	}
	return sheets.Parse(raw)
}

func (h *Handler) checkSheet(c *gin.Context) {
	if _, err := h.readSheet(c); err != nil {
		h.refuse(c, err)
		return
	}
	_, version := h.cfg.Control.Sheet()
	c.JSON(http.StatusOK, publishedJSON{Version: version})
}

func (h *Handler) applySheet(c *gin.Context) {
	base, err := strconv.ParseUint(c.DefaultQuery("base", "0"), 10, 64)
	if err != nil {
		h.refuse(c, codes.New(codes.RequestBad, "admin: base must be a version number"))
		return
	}
	s, err := h.readSheet(c)
	if err != nil {
		h.refuse(c, err)
		return
	}
	p, err := h.cfg.Control.PublishSheet(c.Request.Context(), s, base)
	h.done(c, "sheet-apply", fromPublished(p), err)
}

// read decodes a JSON body strictly.
func (h *Handler) read(c *gin.Context, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		h.refuse(c, codes.Wrap(err, codes.RequestBad, "admin: malformed body"))
		return false
	}
	return true
}

func (h *Handler) keys(c *gin.Context) {
	s, _ := h.cfg.Control.Sheet()
	out := make([]keyJSON, 0, len(s.Keys))
	for _, k := range s.Keys {
		out = append(out, keyJSON{Name: string(k.Name), Workspace: string(k.Workspace), Withdrawn: h.cfg.Control.Withdrawn(k.Name)})
	}
	c.JSON(http.StatusOK, out)
}

func (h *Handler) publish(c *gin.Context, event string, change core.Change) {
	p, err := h.cfg.Control.PublishChange(c.Request.Context(), change)
	h.done(c, event, fromPublished(p), err)
}

func (h *Handler) grant(c *gin.Context) {
	var g grantJSON
	if !h.read(c, &g) {
		return
	}
	k, err := toKey(g)
	if err == nil && h.cfg.Control.Withdrawn(k.Name) {
		err = codes.New(codes.ChangeInvalid, "admin: key %q was withdrawn; key names are not used again", k.Name)
	}
	if err != nil {
		h.refuse(c, err)
		return
	}
	h.publish(c, "key-grant", core.Change{Kind: core.ChangeGrant, Key: k})
}

func (h *Handler) withdraw(c *gin.Context) {
	var r withdrawJSON
	if !h.read(c, &r) {
		return
	}
	w, err := h.cfg.Control.Withdraw(c.Request.Context(), core.KeyID(r.Name))
	h.done(c, "key-withdraw", fromWithdrawn(w), err)
}

func (h *Handler) shift(c *gin.Context) {
	var v shiftJSON
	if h.read(c, &v) {
		h.publish(c, "shift", core.Change{Kind: core.ChangeShift, Shift: toShift(v)})
	}
}

func (h *Handler) drain(c *gin.Context) {
	var r drainRequestJSON
	if !h.read(c, &r) {
		return
	}
	d, err := toDrain(r)
	if err != nil {
		h.refuse(c, err)
		return
	}
	h.publish(c, "drain", core.Change{Kind: core.ChangeDrain, Drain: d})
}

func (h *Handler) resume(c *gin.Context) {
	var r resumeJSON
	if h.read(c, &r) {
		h.publish(c, "resume", core.Change{Kind: core.ChangeResume, Target: r.Target})
	}
}
