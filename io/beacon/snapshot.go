package beacon

import (
	"bytes"
	"context"
	"io"
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
	// copyTimeout is the timeout for transferring a copy between hosts. A configuration
	// of some thousand routes takes seconds on a link that is busy otherwise.
	copyTimeout = 4 * time.Second
	// maxCopy is the largest encoded copy, in bytes. It leaves room for some
	// thousands of servers, or for a configuration with rows of 64 KB.
	maxCopy  = 16 << 20
	copyPath = "/copy/"
	// copyPart is after how many bytes of a copy its transfer counts as going on.
	copyPart = 4 << 10
)

// recordWire is the encoded form of a core.Record. Its era is that of the copy.
type recordWire struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// snapshotWire is the encoded form of a mirror.Snapshot without its holds. If
// Lapsed is set, a holdsWire follows in a message of its own. Hosts of earlier
// builds neither send nor read that message: they take all removals in a copy
// with Lapsed for expired entries.
type snapshotWire struct {
	_      struct{} `cbor:",toarray"`
	Rows   []recordWire
	After  versionWire
	AsOf   versionWire
	Change versionWire
	Lapsed bool
}

// holdsWire is the encoded form of the holds of a snapshot, in milliseconds.
type holdsWire map[string]int64

// maxCached is how many encoded copies of a table are kept: hosts that lag by different
// versions ask for different changes.
const maxCached = 4

// copyKey tells the copies of a table apart.
type copyKey struct {
	after, asOf, change core.Version
	lapsed, packed      bool
}

// cachedCopy is an encoded copy without the holds, which change with time.
type cachedCopy struct {
	key copyKey
	raw []byte
}

// copyCache holds the encoded forms of the copies of a table that were sent last. When
// all hosts of a domain start together, they request the same copy. Encoding it for
// each of them took most of a host's memory with 50 hosts in a domain. It is safe for
// concurrent use.
type copyCache struct {
	mu     sync.Mutex
	copies []cachedCopy // the newest last
}

func (e *copyCache) encode(c mirror.Snapshot, packed bool) ([]byte, error) {
	key := copyKey{after: c.After, asOf: c.Version, change: c.Newest, lapsed: len(c.Holds) > 0, packed: packed}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cached := range e.copies {
		if cached.key == key {
			return cached.raw, nil
		}
	}
	raw, err := encodeSnapshot(c)
	if err == nil && packed {
		raw, err = pack(raw)
	}
	if err != nil {
		return nil, err
	}
	if len(e.copies) == maxCached {
		e.copies = e.copies[1:]
	}
	e.copies = append(e.copies, cachedCopy{key: key, raw: raw})
	return raw, nil
}

// SnapshotHandler serves copies of tables to other hosts. The query parameter
// "after", with "era", limits a copy to the changes after a version.
func SnapshotHandler(tables map[core.FeedTable]*mirror.Mirror) http.Handler {
	g := gin.New()
	caches := make(map[core.FeedTable]*copyCache, len(tables))
	for t := range tables {
		caches[t] = &copyCache{}
	}
	g.GET(copyPath+":table", func(c *gin.Context) {
		m := tables[core.FeedTable(c.Param("table"))]
		if m == nil {
			c.Status(http.StatusNotFound)
			return
		}
		socket, err := websocket.Accept(c.Writer, c.Request, &websocket.AcceptOptions{Subprotocols: []string{packedProtocol}})
		if err != nil {
			return // Accept has written the response
		}
		defer func() { _ = socket.CloseNow() }()
		snapshot := m.Snapshot(requestedVersion(c, m))
		raw, err := caches[core.FeedTable(c.Param("table"))].encode(snapshot, socket.Subprotocol() == packedProtocol)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(c.Request.Context(), copyTimeout)
		defer cancel()
		// The requester notices an incomplete copy.
		if socket.Write(ctx, websocket.MessageBinary, raw) != nil || writeHolds(ctx, socket, snapshot.Holds) != nil {
			return
		}
		_ = socket.Close(websocket.StatusNormalClosure, "")
	})
	return g
}

// requestedVersion returns the version after which a host asks for the changes. Zero, also
// if it is missing or malformed, means the whole table. Hosts of earlier builds name no
// era and are given the changes of the current one, as the table would be too much for
// each change.
func requestedVersion(c *gin.Context, m *mirror.Mirror) core.Version {
	number, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil || number == 0 {
		return core.Version{}
	}
	era, named := c.GetQuery("era")
	if !named {
		asOf, _ := m.Versions()
		return core.Version{Era: asOf.Era, Number: number}
	}
	v := core.Version{Number: number}
	if v.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return core.Version{}
	}
	return v
}

// writeHolds sends the holds of a snapshot, if there are any.
func writeHolds(ctx context.Context, socket *websocket.Conn, holds map[string]time.Duration) error {
	if len(holds) == 0 {
		return nil
	}
	w := make(holdsWire, len(holds))
	for key, left := range holds {
		w[key] = left.Milliseconds()
	}
	raw, err := cbor.Marshal(w)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "beacon: cannot encode the holds of a table copy")
	}
	return errors.Wrap(socket.Write(ctx, websocket.MessageBinary, raw), "beacon: cannot send the holds of a table copy")
}

// readHolds reads the holds that follow a snapshot. A host of an earlier build
// closes the connection instead and sends none.
func readHolds(ctx context.Context, socket *websocket.Conn) (map[string]time.Duration, error) {
	_, raw, err := socket.Read(ctx)
	if websocket.CloseStatus(err) == websocket.StatusNormalClosure {
		return nil, nil
	}
	if err != nil {
		return nil, codes.Wrap(err, codes.PeerDown, "beacon: cannot read the holds of a table copy")
	}
	var w holdsWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return nil, codes.Wrap(errors.WithStack(err), codes.PeerFrame, "beacon: cannot decode the holds of a table copy")
	}
	holds := make(map[string]time.Duration, len(w))
	for key, left := range w {
		holds[key] = time.Duration(left) * time.Millisecond
	}
	return holds, nil
}

// readCopy reads a message and calls onProgress after each part of it.
func readCopy(ctx context.Context, socket *websocket.Conn, onProgress func()) ([]byte, error) {
	socket.SetReadLimit(maxCopy)
	_, r, err := socket.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	for {
		n, err := io.CopyN(&b, r, copyPart)
		if n > 0 {
			onProgress()
		}
		if errors.Is(err, io.EOF) {
			return b.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func encodeSnapshot(c mirror.Snapshot) ([]byte, error) {
	w := snapshotWire{After: versionWire(c.After), AsOf: versionWire(c.Version), Change: versionWire(c.Newest), Lapsed: len(c.Holds) > 0, Rows: make([]recordWire, 0, len(c.Rows))}
	for _, r := range c.Rows {
		w.Rows = append(w.Rows, recordWire{Key: r.Key, Value: r.Value, Version: r.Version.Number, Removed: r.Removed})
	}
	raw, err := cbor.Marshal(w)
	return raw, codes.Wrap(err, codes.Internal, "beacon: cannot encode table copy")
}

// Fetch describes a copy that another host is asked for.
type Fetch struct {
	Address string
	Port    int
	Table   core.FeedTable
	// After limits the copy to the changes after a version. Zero, or a host that does not
	// have all the changes, gives the whole table.
	After core.Version
	// OnProgress, if set, is called when the connection is open and whenever a part of
	// the copy has arrived.
	OnProgress func()
}

// FetchSnapshot fetches a copy from another host. Errors carry PeerDown, or PeerFrame if
// the response is invalid.
func FetchSnapshot(ctx context.Context, f Fetch) (mirror.Snapshot, error) {
	if f.OnProgress == nil {
		f.OnProgress = func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	address := f.Address
	url := "ws://" + net.JoinHostPort(address, strconv.Itoa(f.Port)) + copyPath + string(f.Table) + "?after=" + strconv.FormatUint(f.After.Number, 10) + "&era=" + strconv.FormatUint(f.After.Era, 10)
	socket, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{Subprotocols: []string{packedProtocol}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return mirror.Snapshot{}, codes.Wrap(err, codes.PeerDown, "beacon: cannot connect to host %s", address)
	}
	defer func() { _ = socket.CloseNow() }()
	f.OnProgress()
	raw, err := readCopy(ctx, socket, f.OnProgress)
	if err != nil {
		return mirror.Snapshot{}, codes.Wrap(err, codes.PeerDown, "beacon: cannot read table copy from host %s", address)
	}
	if socket.Subprotocol() == packedProtocol {
		if raw, err = unpack(raw); err != nil {
			return mirror.Snapshot{}, codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode table copy")
		}
	}
	var w snapshotWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return mirror.Snapshot{}, codes.Wrap(errors.WithStack(err), codes.PeerFrame, "beacon: cannot decode table copy")
	}
	c := mirror.Snapshot{
		After: core.Version(w.After), Version: core.Version(w.AsOf), Newest: core.Version(w.Change), Source: address, Rows: make([]core.Record, 0, len(w.Rows)),
	}
	if w.Lapsed {
		if c.Holds, err = readHolds(ctx, socket); err != nil {
			return mirror.Snapshot{}, err
		}
	}
	for _, r := range w.Rows {
		c.Rows = append(c.Rows, core.Record{Key: r.Key, Value: r.Value, Version: core.Version{Era: c.Version.Era, Number: r.Version}, Removed: r.Removed})
	}
	return c, nil
}
