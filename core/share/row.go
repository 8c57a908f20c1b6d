package share

import (
	"sort"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// Row is the state of a rate resource in the table.
type Row struct {
	// Version is the configuration version that set Limit.
	Version uint64
	Limit   core.Amount
	// Amounts holds the amount of each domain.
	Amounts map[core.DomainID]core.Amount
	// Parts holds the amounts to which the domains still have to lower
	// themselves after a lower limit. It is empty if the amounts fit.
	Parts map[core.DomainID]core.Amount
}

// Sum returns the sum of the amounts.
func (r Row) Sum() core.Amount {
	var sum core.Amount
	for _, a := range r.Amounts {
		sum = sum.Add(a)
	}
	return sum
}

func (r Row) clone() Row {
	return Row{Version: r.Version, Limit: r.Limit, Amounts: cloneAmounts(r.Amounts), Parts: cloneAmounts(r.Parts)}
}

func cloneAmounts(m map[core.DomainID]core.Amount) map[core.DomainID]core.Amount {
	c := make(map[core.DomainID]core.Amount, len(m))
	for d, a := range m {
		c[d] = a
	}
	return c
}

// newRow returns the first row of a resource, split equally.
func newRow(version uint64, l Limit) Row {
	r := Row{Version: version, Limit: l.Amount, Amounts: make(map[core.DomainID]core.Amount)}
	parts := splitLimit(l.Amount, len(l.Domains))
	for i, d := range l.Domains {
		r.Amounts[d] = parts[i]
	}
	return r
}

// reconcile returns the row that domain d may write to follow limit l of a
// configuration version, and whether it differs. It lowers only the amount
// of d and raises amounts only when the sum fits the limit.
func (r Row) reconcile(version uint64, l Limit, d core.DomainID) (Row, bool) {
	if version < r.Version {
		return r, false
	}
	n, changed := r.clone(), false
	if version > r.Version && l.Amount != r.Limit {
		n.Version, n.Limit, changed = version, l.Amount, true
		n.Parts = map[core.DomainID]core.Amount{}
		if !n.Sum().Fits(n.Limit) {
			n.Parts = n.proportions()
		}
	}
	own := n.Amounts[d]
	if p, ok := n.Parts[d]; ok {
		own = own.Min(p)
	}
	if !l.has(d) {
		own = core.Amount{}
	}
	if own != n.Amounts[d] {
		n.Amounts[d], changed = own, true
	}
	return n, n.spread(l) || changed
}

// proportions splits the limit in proportion to the amounts.
func (r Row) proportions() map[core.DomainID]core.Amount {
	domains := sortedDomains(r.Amounts)
	rates, bursts := make([]int64, len(domains)), make([]int64, len(domains))
	for i, d := range domains {
		rates[i], bursts[i] = r.Amounts[d].Rate, r.Amounts[d].Burst
	}
	rates, bursts = SplitByWeight(r.Limit.Rate, rates), SplitByWeight(r.Limit.Burst, bursts)
	parts := make(map[core.DomainID]core.Amount, len(domains))
	for i, d := range domains {
		parts[d] = core.Amount{Rate: rates[i], Burst: bursts[i]}
	}
	return parts
}

// spread gives what no domain has to the domains of the limit, once the sum
// fits.
func (r *Row) spread(l Limit) bool {
	sum := r.Sum()
	if !sum.Fits(r.Limit) || len(l.Domains) == 0 {
		return false
	}
	changed := len(r.Parts) > 0
	r.Parts = map[core.DomainID]core.Amount{}
	spare := r.Limit.Sub(sum)
	if spare.IsZero() {
		return changed
	}
	for i, part := range splitLimit(spare, len(l.Domains)) {
		d := l.Domains[i]
		r.Amounts[d] = r.Amounts[d].Add(part)
	}
	return true
}

func sortedDomains(m map[core.DomainID]core.Amount) []core.DomainID {
	domains := make([]core.DomainID, 0, len(m))
	for d := range m {
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	return domains
}

type wireAmount struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Rate   int64
	Burst  int64
}

type wireRow struct {
	Version uint64       `cbor:"1,keyasint"`
	Rate    int64        `cbor:"2,keyasint"`
	Burst   int64        `cbor:"3,keyasint"`
	Amounts []wireAmount `cbor:"4,keyasint"`
	Parts   []wireAmount `cbor:"5,keyasint,omitempty"`
}

// EncodeRow encodes a row for the table.
func EncodeRow(r Row) ([]byte, error) {
	w := wireRow{Version: r.Version, Rate: r.Limit.Rate, Burst: r.Limit.Burst}
	w.Amounts, w.Parts = toWire(r.Amounts), toWire(r.Parts)
	body, err := cbor.Marshal(w)
	return body, codes.Wrap(err, codes.Internal, "share: cannot encode a row")
}

// DecodeRow decodes a row of the table. A row that is malformed or holds
// negative amounts is refused with the code Internal.
func DecodeRow(body []byte) (Row, error) {
	var w wireRow
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Row{}, codes.Wrap(err, codes.Internal, "share: malformed row")
	}
	if w.Rate < 0 || w.Burst < 0 {
		return Row{}, codes.New(codes.Internal, "share: row with a negative limit")
	}
	r := Row{Version: w.Version, Limit: core.Amount{Rate: w.Rate, Burst: w.Burst}}
	var err error
	if r.Amounts, err = fromWire(w.Amounts); err != nil {
		return Row{}, err
	}
	r.Parts, err = fromWire(w.Parts)
	return r, err
}

func toWire(m map[core.DomainID]core.Amount) []wireAmount {
	var list []wireAmount
	for _, d := range sortedDomains(m) {
		list = append(list, wireAmount{Domain: string(d), Rate: m[d].Rate, Burst: m[d].Burst})
	}
	return list
}

func fromWire(list []wireAmount) (map[core.DomainID]core.Amount, error) {
	m := make(map[core.DomainID]core.Amount, len(list))
	for _, w := range list {
		if w.Rate < 0 || w.Burst < 0 {
			return nil, codes.New(codes.Internal, "share: row with a negative amount of domain %s", w.Domain)
		}
		m[core.DomainID(w.Domain)] = core.Amount{Rate: w.Rate, Burst: w.Burst}
	}
	return m, nil
}
