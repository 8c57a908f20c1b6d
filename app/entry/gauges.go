package entry

import (
	"azurering/core"
	"azurering/core/member"
	"azurering/core/order"
	"azurering/io/metric"
)

// watchGauges registers the values that are read when metrics are collected.
func watchGauges(m *metric.Metrics, s *state, g *member.View, o *order.Orders, t core.Timer) error {
	gauges := []struct {
		name string
		text string
		read func() float64
	}{
		{"azurering_config_version", "Version of the configuration in force.", func() float64 { return float64(s.Log.Current().Version) }},
		{"azurering_config_lag", "Versions heard of and not yet applied.", func() float64 { return float64(s.Log.Lag()) }},
		{"azurering_evidence_age_seconds", "Age of the proof that keys are valid; -1 if there is none.", func() float64 { return evidenceAge(s, t) }},
		{"azurering_seat_acting", "1 while the host acts in the seat of its domain.", func() float64 { return acting(s) }},
		{"azurering_members_live", "Live entry hosts in this host's view.", func() float64 { return float64(len(g.Live(""))) }},
		{"azurering_orders_pending", "Orders that wait, run or are being recorded.", func() float64 { return float64(o.Stats().Pending) }},
	}
	for _, one := range gauges {
		if err := m.RegisterGauge(one.name, one.text, one.read); err != nil {
			return err
		}
	}
	return nil
}

func evidenceAge(s *state, t core.Timer) float64 {
	age, ok := s.Evidence.Age(t.Now())
	if !ok {
		return -1
	}
	return age.Seconds()
}

func acting(s *state) float64 {
	if _, ok := s.Seat.Acting(); ok {
		return 1
	}
	return 0
}
