package beacon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/mirror"
)

const (
	// copyTimeout bounds the transfer of a table between hosts.
	copyTimeout = 1500 * time.Millisecond
	// maxCopy bounds a table: some thousands of servers, or a configuration
	// of 64 KB a row.
	maxCopy  = 16 << 20
	copyPath = "/copy/"
)

type recordWire struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

type copyWire struct {
	_      struct{} `cbor:",toarray"`
	Rows   []recordWire
	After  uint64
	AsOf   uint64
	Change uint64
	Lapsed bool
}

// encoding keeps the last copy that was sent of a table. All hosts of a
// domain ask for the same one after they were started together; encoded for
// each of them it took most of a host's memory with 50 hosts a domain.
type encoding struct {
	mu                  sync.Mutex
	after, asOf, change uint64
	lapsed              bool
	raw                 []byte
}

func (e *encoding) encode(c mirror.Snapshot) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.raw != nil && e.after == c.After && e.asOf == c.Version && e.change == c.Newest && e.lapsed == c.AfterOutage {
		return e.raw, nil
	}
	raw, err := encodeCopy(c)
	if err == nil {
		e.after, e.asOf, e.change, e.lapsed, e.raw = c.After, c.Version, c.Newest, c.AfterOutage, raw
	}
	return raw, err
}

// SnapshotHandler serves the followed tables, or what changed in them after a
// version, to other hosts.
func SnapshotHandler(tables map[core.FeedTable]*mirror.Mirror) http.Handler {
	g := gin.New()
	encodings := make(map[core.FeedTable]*encoding, len(tables))
	for t := range tables {
		encodings[t] = &encoding{}
	}
	g.GET(copyPath+":table", func(c *gin.Context) {
		m := tables[core.FeedTable(c.Param("table"))]
		if m == nil {
			c.Status(http.StatusNotFound)
			return
		}
		socket, err := websocket.Accept(c.Writer, c.Request, nil)
		if err != nil {
			return // Accept has answered
		}
		defer func() { _ = socket.CloseNow() }()
		after, _ := strconv.ParseUint(c.Query("after"), 10, 64) // 0, if missing, for the whole table
		raw, err := encodings[core.FeedTable(c.Param("table"))].encode(m.Snapshot(after))
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(c.Request.Context(), copyTimeout)
		defer cancel()
		if socket.Write(ctx, websocket.MessageBinary, raw) == nil {
			_ = socket.Close(websocket.StatusNormalClosure, "")
		}
	})
	return g
}

func encodeCopy(c mirror.Snapshot) ([]byte, error) {
	w := copyWire{After: c.After, AsOf: c.Version, Change: c.Newest, Lapsed: c.AfterOutage, Rows: make([]recordWire, 0, len(c.Rows))}
	for _, r := range c.Rows {
		w.Rows = append(w.Rows, recordWire{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	raw, err := cbor.Marshal(w)
	return raw, codes.Wrap(err, codes.Internal, "beacon: copy cannot be encoded")
}

// FetchSnapshot gets what changed in a table after a version from another host.
// Errors carry PeerDown or PeerFrame.
func FetchSnapshot(ctx context.Context, address string, port int, t core.FeedTable, after uint64) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	url := "ws://" + net.JoinHostPort(address, strconv.Itoa(port)) + copyPath + string(t) + "?after=" + strconv.FormatUint(after, 10)
	socket, resp, err := websocket.Dial(ctx, url, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return mirror.Snapshot{}, codes.Wrap(err, codes.PeerDown, "beacon: host %s", address)
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxCopy)
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return mirror.Snapshot{}, codes.Wrap(err, codes.PeerDown, "beacon: host %s", address)
	}
	var w copyWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return mirror.Snapshot{}, codes.Wrap(errors.WithStack(err), codes.PeerFrame, "beacon: copy cannot be decoded")
	}
	c := mirror.Snapshot{After: w.After, Version: w.AsOf, Newest: w.Change, AfterOutage: w.Lapsed, Rows: make([]core.Record, 0, len(w.Rows))}
	for _, r := range w.Rows {
		c.Rows = append(c.Rows, core.Record{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return c, nil
}
