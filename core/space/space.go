// Package space bounds the memory that parts of a process take together. Hosts use it
// for requests and answers: each of them is bounded, but hundreds at once would take more
// than a process may have.
package space

import (
	"io"
	"runtime"
	"sync/atomic"

	"github.com/pkg/errors"
)

// minBuffer is the size in bytes up to which a buffer does not count, so that short
// bodies are always buffered whole.
const minBuffer = 4 << 10

// Config configures a Pool.
type Config struct {
	Bytes int64 // that all users may take together; 0 means no bound
	// Reserve is how many of the bytes only claims with priority may take.
	Reserve int64
	// Reclaim, if set, is called when there is not enough memory. It makes users give memory
	// back, and returns false if there are none that can. It may block.
	Reclaim func() bool
}

// Pool is memory that is taken and given back. A nil Pool has no bound. It is safe for
// concurrent use.
type Pool struct {
	cfg   Config
	taken atomic.Int64
}

// New returns a pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Taken returns how many bytes are taken.
func (p *Pool) Taken() int64 { return p.taken.Load() }

// IsShort reports whether more than half of the bytes are taken that are not reserved.
func (p *Pool) IsShort() bool {
	return p != nil && p.cfg.Bytes > 0 && p.taken.Load() > (p.cfg.Bytes-p.cfg.Reserve)/2
}

// take takes a number of bytes of the first limit ones, or returns false if there are not as
// many.
func (p *Pool) take(n, limit int64) bool {
	if p.takeAvailable(n, limit) {
		return true
	}
	return p.cfg.Reclaim != nil && p.cfg.Reclaim() && p.takeAvailable(n, limit)
}

func (p *Pool) takeAvailable(n, limit int64) bool {
	if taken := p.taken.Add(n); p.cfg.Bytes > 0 && taken > limit {
		p.taken.Add(-n)
		return false
	}
	return true
}

// Claim is memory that a user has taken of a pool. It is not safe for concurrent use.
type Claim struct {
	pool        *Pool
	hasPriority bool
	bytes       atomic.Int64 // atomic, as a cleanup may release it
}

// Claim returns a claim of no bytes.
func (p *Pool) Claim() *Claim { return &Claim{pool: p} }

// PriorityClaim returns a claim of no bytes that may take of Config.Reserve, too.
func (p *Pool) PriorityClaim() *Claim { return &Claim{pool: p, hasPriority: true} }

// Take takes a number of bytes in addition, or returns false if there are not as many.
func (c *Claim) Take(n int64) bool {
	if p := c.pool; p != nil {
		limit := p.cfg.Bytes
		if !c.hasPriority {
			limit -= p.cfg.Reserve
		}
		if !p.take(n, limit) {
			return false
		}
	}
	c.bytes.Add(n)
	return true
}

// Resize takes or gives back memory so that the claim has a number of bytes. It returns
// false, and changes nothing, if there are not as many.
func (c *Claim) Resize(n int64) bool {
	more := n - c.bytes.Load()
	if more > 0 {
		return c.Take(more)
	}
	c.bytes.Add(more)
	if c.pool != nil {
		c.pool.taken.Add(more)
	}
	return true
}

// Release gives all memory back. Further calls, and those on nil, do nothing.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	if n := c.bytes.Swap(0); n > 0 && c.pool != nil {
		c.pool.taken.Add(-n)
	}
}

// Buffer holds the beginning of a stream. It is not safe for concurrent use.
type Buffer struct {
	Bytes []byte
	// Whole is set if the stream has ended and Bytes has all of it.
	Whole bool
	claim *Claim
}

// Read reads a stream until it ends, for at most limit bytes and for as long as the
// pool has memory. size is the number of bytes to expect, or negative if it is not
// known. A stream of exactly limit bytes does not count as whole. Read fails if the
// stream does.
func (p *Pool) Read(r io.Reader, limit int, size int64) (*Buffer, error) {
	b := &Buffer{claim: p.Claim()}
	// Buffers that are dropped without Release, for example the answer to a request
	// that has been given up, are released when they are collected.
	runtime.AddCleanup(b, (*Claim).Release, b.claim)
	if size >= 0 {
		limit = min(limit, int(min(size, int64(limit)))+1) // one more, to see the end
	}
	for len(b.Bytes) < limit {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow(limit) {
			return b, nil
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):min(cap(b.Bytes), limit)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			b.Whole = true
			return b, nil
		}
		if err != nil {
			b.Release()
			return nil, errors.Wrap(err, "space: stream cannot be read to its end")
		}
	}
	return b, nil
}

// grow makes room for more bytes. It returns false if the pool has no memory for
// that.
func (b *Buffer) grow(limit int) bool {
	to := min(max(2*cap(b.Bytes), minBuffer), limit)
	more := int64(to - cap(b.Bytes))
	if to > minBuffer {
		if !b.claim.Take(more) {
			return false
		}
	}
	grown := make([]byte, len(b.Bytes), to)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

// Release gives the buffer's memory back to the pool. What was in Bytes must not be
// used or kept after it. Further calls, and those on nil, do nothing.
func (b *Buffer) Release() {
	if b != nil {
		b.Bytes = nil // before others may take the memory
		b.claim.Release()
	}
}
