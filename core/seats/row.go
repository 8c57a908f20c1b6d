package seats

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// View is the content of a seat row that other packages use.
type View struct {
	Domain      core.DomainID
	Holder      core.HostID // empty if nobody holds the seat
	Incarnation uint64      // incarnation of the holder when it took the seat
	Epoch       uint64      // number of takeovers; 0 if the seat was never taken
	Candidates  []core.HostID
}

// row is a decoded seat row: the View and the fields that only this package
// needs.
type row struct {
	View
	// runID is a random id of the holder's process. It tells runs of a host apart
	// whose incarnations are equal: hosts have no disks, so two runs may get the
	// same incarnation.
	runID string
	// clean is set on a released row if the holder and all holders before it had
	// stopped acting when the row was written. The next holder then need not
	// wait.
	clean   bool
	version uint64
	token   string
}

// rowWire is the CBOR encoding of a row's value.
type rowWire struct {
	_           struct{} `cbor:",toarray"`
	Holder      string
	Incarnation uint64
	Run         string
	Epoch       uint64
	Candidates  []string
	Clean       bool
}

func (r row) encode() ([]byte, error) {
	w := rowWire{Holder: string(r.Holder), Incarnation: r.Incarnation, Run: r.runID, Epoch: r.Epoch, Clean: r.clean}
	for _, c := range r.Candidates {
		w.Candidates = append(w.Candidates, string(c))
	}
	body, err := cbor.Marshal(w)
	return body, codes.Wrap(err, codes.Internal, "seats: row of domain %s cannot be encoded", r.Domain)
}

func decodeRow(r core.Row) (row, error) {
	out := row{View: View{Domain: core.DomainID(r.Key)}, version: r.Version, token: r.Token}
	if r.Version == 0 {
		return out, nil
	}
	var w rowWire
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		return row{}, codes.Wrap(err, codes.Internal, "seats: row of domain %s cannot be decoded", r.Key)
	}
	out.Holder, out.Incarnation, out.Epoch = core.HostID(w.Holder), w.Incarnation, w.Epoch
	out.runID, out.clean = w.Run, w.Clean
	for _, c := range w.Candidates {
		out.Candidates = append(out.Candidates, core.HostID(c))
	}
	return out, nil
}

// candidatesExcept returns the candidates other than self.
func (r row) candidatesExcept(self core.HostID) []core.HostID {
	var out []core.HostID
	for _, c := range r.Candidates {
		if c != self {
			out = append(out, c)
		}
	}
	return out
}

func (r row) hasCandidate(h core.HostID) bool {
	for _, c := range r.Candidates {
		if c == h {
			return true
		}
	}
	return false
}

// List returns the seats of all failure domains that have a row, from
// consistent reads. Errors have the code of the table, or Internal for a row
// that cannot be decoded.
func List(ctx context.Context, table core.Table) ([]View, error) {
	const pageSize = 100
	var out []View
	after := ""
	for {
		rows, err := table.List(ctx, core.SpaceSeat, after, pageSize)
		if err != nil {
			return nil, codes.Wrap(err, codes.Of(err), "seats: seat rows cannot be listed")
		}
		for _, r := range rows {
			decoded, err := decodeRow(r)
			if err != nil {
				return nil, err
			}
			out = append(out, decoded.View)
			after = r.Key
		}
		if len(rows) < pageSize {
			return out, nil
		}
	}
}
