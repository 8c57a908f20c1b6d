package seats

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// View is what the table says about the seat of one failure domain.
type View struct {
	Domain      core.DomainID
	Holder      core.HostID // empty while nobody holds the seat
	Incarnation uint64      // incarnation of the holder when it took the seat
	Epoch       uint64      // counts the takeovers; zero if the seat was never taken
	Candidates  []core.HostID
}

// row is a seat row with the parts that only seat holders need.
type row struct {
	View
	// run is a random name of the holder's process. Incarnations come from
	// hosts without disks, so two runs of a host could use the same one.
	run string
	// clean is set on a released row whose holder had stopped acting, and
	// all holders before it, when the row was written.
	clean   bool
	version uint64
	token   string
}

// rowWire is the encoding of a row's value.
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
	w := rowWire{Holder: string(r.Holder), Incarnation: r.Incarnation, Run: r.run, Epoch: r.Epoch, Clean: r.clean}
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
	out.run, out.clean = w.Run, w.Clean
	for _, c := range w.Candidates {
		out.Candidates = append(out.Candidates, core.HostID(c))
	}
	return out, nil
}

// others returns the candidates except one host.
func (r row) others(self core.HostID) []core.HostID {
	var out []core.HostID
	for _, c := range r.Candidates {
		if c != self {
			out = append(out, c)
		}
	}
	return out
}

func (r row) names(h core.HostID) bool {
	for _, c := range r.Candidates {
		if c == h {
			return true
		}
	}
	return false
}

// List reads the seats of all failure domains by consistent reads. Its
// error carries the code of the table.
func List(ctx context.Context, table core.Table) ([]View, error) {
	const page = 100
	var out []View
	after := ""
	for {
		rows, err := table.List(ctx, core.SpaceSeat, after, page)
		if err != nil {
			return nil, codes.Wrap(err, codes.Of(err), "seats: list of seats cannot be read")
		}
		for _, r := range rows {
			one, err := decodeRow(r)
			if err != nil {
				return nil, err
			}
			out = append(out, one.View)
			after = r.Key
		}
		if len(rows) < page {
			return out, nil
		}
	}
}
