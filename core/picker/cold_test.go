package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/picker"
	"azurering/core/timer"
)

// Guards against hosts that start together and each send to a cold server, because
// none has heard of the others yet: the server accepts ColdRate requests per second
// of all of them together, and crashes well above that.
func TestHostsThatStartTogetherKeepTheRateOfAColdServer(t *testing.T) {
	const hosts, coldRate = 12, 2.5
	const allowed = coldRate*1.5 + 5 // the users' bound in any second
	for name, listAfter := range map[string]time.Duration{"list of hosts read at once": 0, "list of hosts read late": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual()
			var listed []gossip.Heartbeat
			for i := range hosts {
				name := fmt.Sprintf("h%02d", i)
				listed = append(listed, gossip.Heartbeat{Host: core.HostID(name), Domain: "a", Address: name, StartedMs: 1, Ready: true})
			}
			members, views := make(map[string]*gossip.Members), make([]*picker.Picker, hosts)
			cold := instance(1, "a")
			cold.ColdLeft = 3 * time.Second
			for i, self := range listed {
				m := gossip.New(gossip.Config{Timer: clock, Self: self})
				members[self.Address] = m
				views[i] = picker.New(picker.Config{
					Timer: clock, Host: self.Host, Domain: "a", Region: "north", Regions: regions, DomainHosts: m.MaybeReadyHosts,
					Service:      func(core.ServiceID) *core.ServiceConfig { return &core.ServiceConfig{ColdRate: coldRate} },
					RequestCheck: func(core.Instance) {},
				})
				views[i].Update(cold)
			}
			var sent []time.Duration
			for clock.Now() < 3*time.Second {
				clock.Advance(10 * time.Millisecond)
				now := clock.Now()
				for i, self := range listed {
					if now == listAfter+10*time.Millisecond {
						members[self.Address].AddListed(listed)
					}
					if now%(400*time.Millisecond) == time.Duration(i+1)*30*time.Millisecond {
						for _, msg := range members[self.Address].Tick(self) {
							for _, to := range msg.To {
								members[to].Receive(msg.Digest)
							}
						}
					}
					if lease, err := views[i].Acquire(stickyAsk("x")); err == nil {
						sent = append(sent, now)
						lease.Release(picker.OutcomeAnswered, nil)
					}
				}
			}
			for i, at := range sent {
				n := 0
				for _, later := range sent[i:] {
					if later < at+time.Second {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), allowed, "requests in the second from %v", at)
			}
			require.Greater(t, len(sent), 3, "the server must warm up")
		})
	}
}
