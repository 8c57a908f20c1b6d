package sheets_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/sheets"
)

const sample = `
name = "association"

[[region]]
name = "doto"
domains = ["kushiro", "nemuro"]

[[region]]
name = "donan"
domains = ["hakodate"]

[[link]]
from = "doto"
to = "donan"
mbits = 4000
delay = "12ms"

[[workspace]]
name = "loft-a"
rate = 12.5
burst = 20

[[service]]
name = "loft-desk"
warm = "20s"
[[service.route]]
path = "/queue"
access = "keyed"
kind = "idempotent"
class = "lookup"
timeout = "3s"

[[server]]
name = "desk-1"
service = "loft-desk"
domain = "kushiro"
address = "127.0.0.1:9000"
slots = 3
conns = 400

[[key]]
name = "k1"
workspace = "loft-a"
hash = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

[[block]]
prefix = "10.1.0.0/16"
domain = "nemuro"

[[shift]]
name = "s1"
from = "doto"
to = "donan"
share = 0.25
cap = 40

[[drain]]
kind = "server"
target = "desk-1"
mode = "drain"
within = "30s"
`

// Guards against values that are lost or change their unit between file
// and sheet.
func TestReadAndWriteAgree(t *testing.T) {
	s, err := sheets.Parse([]byte(sample))
	require.NoError(t, err)
	require.Equal(t, core.Workspace{Name: "loft-a", Rate: 12_500, Burst: 20_000}, s.Workspaces[0])
	require.Equal(t, core.Shift{Name: "s1", From: "doto", To: "donan", SharePerMille: 250, Cap: 40_000}, s.Shifts[0])
	require.Equal(t, 20*time.Second, s.Services[0].SlowStart)
	raw, err := sheets.Format(s)
	require.NoError(t, err)
	again, err := sheets.Parse(raw)
	require.NoError(t, err)
	require.Equal(t, s, again)
}

// Guards against faulty files that are accepted, and against messages that
// do not name the place of the fault.
func TestFaultyFiles(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", `share = 0.25`, `shore = 0.25`, []string{"line 54 column 1", "shift.shore"}},
		{"syntax", `name = "k1"`, `name = k1`, []string{"line 42"}},
		{"type", `slots = 3`, `slots = "three"`, []string{"line 38"}},
		{"duration", `warm = "20s"`, `warm = "20"`, []string{"20s", "duration"}},
		{"hash", `hash = "00`, `hash = "zz`, []string{"64 hexadecimal"}},
		{"prefix", `10.1.0.0/16`, `10.1.0.0`, []string{"not an address prefix"}},
		{"negative rate", `rate = 12.5`, `rate = -1`, []string{"out of range"}},
		{"rate not a number", `rate = 12.5`, `rate = nan`, []string{"out of range"}},
		{"validation", `domain = "nemuro"`, `domain = "nowhere"`, []string{"unknown failure domain"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, sample, c.old)
			_, err := sheets.Parse([]byte(strings.Replace(sample, c.old, c.new, 1)))
			require.Equal(t, codes.SheetInvalid, codes.Of(err))
			for _, text := range c.want {
				require.Contains(t, err.Error(), text)
			}
		})
	}
}

// FuzzRead guards against files that crash the reader, and against sheets
// that cannot be written back.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`[[region]]`))
	f.Add([]byte("name = 1\n[[key]]\nhash=\"\""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := sheets.Parse(raw)
		if err != nil {
			if codes.Of(err) != codes.SheetInvalid {
				t.Fatalf("error has code %d: %v", codes.Of(err), err)
			}
			return
		}
		written, err := sheets.Format(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sheets.Parse(written); err != nil {
			t.Fatalf("written sheet is refused: %v", err)
		}
	})
}
