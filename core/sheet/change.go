package sheet

import (
	"slices"

	"azurering/core"
	"azurering/core/codes"
)

// Apply applies a change to a sheet and returns the new sheet. The given sheet
// and its slices are not modified. Errors carry ChangeInvalid; the returned sheet
// must not be used then.
func Apply(s core.Sheet, ch core.Change) (core.Sheet, error) {
	switch ch.Kind {
	case core.ChangeGrant:
		return grantKey(s, ch.Key)
	case core.ChangeRevoke:
		return revokeKey(s, core.KeyID(ch.Target))
	case core.ChangeShift:
		return addShift(s, ch.Shift)
	case core.ChangeDrain:
		return addDrain(s, ch.Drain)
	case core.ChangeResume:
		return resume(s, ch.Target)
	case core.ChangeRate:
		return setWorkspaceRate(s, ch.Workspace)
	default:
		return s, codes.New(codes.ChangeInvalid, "sheet: unknown kind of change %q", ch.Kind)
	}
}

// CheckTransition checks a new sheet against the one in force. At most one failure domain
// may be added or removed, so that majorities of consecutive versions have a
// domain in common; otherwise the error carries SheetInvalid. A sheet without any
// domains may be replaced by any. It returns the keys that the new sheet no
// longer holds, so that the caller can withdraw them.
func CheckTransition(old, next core.Sheet) ([]core.Withdrawal, error) {
	before, after := Domains(old), Domains(next)
	changed := 0
	for _, d := range before {
		if !slices.Contains(after, d) {
			changed++
		}
	}
	for _, d := range after {
		if !slices.Contains(before, d) {
			changed++
		}
	}
	if len(before) > 0 && changed > 1 {
		return nil, codes.New(codes.SheetInvalid, "sheet: %d failure domains are added or removed; at most one is allowed per version", changed)
	}
	keptKeys := make(map[core.KeyID]bool, len(next.Keys))
	for _, k := range next.Keys {
		keptKeys[k.Name] = true
	}
	var removed []core.Withdrawal
	for _, k := range old.Keys {
		if !keptKeys[k.Name] {
			removed = append(removed, core.Withdrawal{Key: k.Name, Workspace: k.Workspace})
		}
	}
	return removed, nil
}

// Domains returns the failure domains of a sheet, in the order of the sheet.
func Domains(s core.Sheet) []core.DomainID {
	var all []core.DomainID
	for _, r := range s.Regions {
		all = append(all, r.Domains...)
	}
	return all
}

// RegionOf returns the region of a failure domain, or an empty ID if the sheet
// does not have the domain.
func RegionOf(s core.Sheet, d core.DomainID) core.RegionID {
	for _, r := range s.Regions {
		if slices.Contains(r.Domains, d) {
			return r.Name
		}
	}
	return ""
}

// grantKey checks only the new key. The others were checked when they were added,
// and checking all of them would cost each host 1 µs per key and change.
func grantKey(s core.Sheet, k core.Key) (core.Sheet, error) {
	c := &checker{knownWorkspaces: make(map[core.WorkspaceID]bool)}
	for _, other := range s.Keys {
		if other.Name == k.Name {
			return s, codes.New(codes.ChangeInvalid, "sheet: key %q exists already", k.Name)
		}
		if other.Hash == k.Hash {
			c.report("keys %q and %q have the same hash", other.Name, k.Name)
		}
	}
	for _, w := range s.Workspaces {
		c.knownWorkspaces[w.Name] = true
	}
	c.checkKeys(core.Sheet{Keys: []core.Key{k}})
	s.Keys = append(slices.Clone(s.Keys), k)
	return s, changeError(c)
}

func revokeKey(s core.Sheet, id core.KeyID) (core.Sheet, error) {
	i := slices.IndexFunc(s.Keys, func(k core.Key) bool { return k.Name == id })
	if i < 0 {
		return s, codes.New(codes.ChangeInvalid, "sheet: key %q does not exist", id)
	}
	s.Keys = slices.Delete(slices.Clone(s.Keys), i, i+1)
	return s, nil
}

func addShift(s core.Sheet, v core.Shift) (core.Sheet, error) {
	s.Shifts = append(slices.Clone(s.Shifts), v)
	return s, changeError(planChecker(s))
}

func addDrain(s core.Sheet, d core.Drain) (core.Sheet, error) {
	kept := slices.DeleteFunc(slices.Clone(s.Drains), func(other core.Drain) bool {
		// A stop may replace a drain of the same target.
		return other.Kind == d.Kind && other.Target == d.Target && other.Mode == core.ModeDrain && d.Mode == core.ModeStop
	})
	s.Drains = append(kept, d)
	return s, changeError(planChecker(s))
}

func resume(s core.Sheet, target string) (core.Sheet, error) {
	shifts := slices.DeleteFunc(slices.Clone(s.Shifts), func(v core.Shift) bool { return v.Name == target })
	drains := slices.DeleteFunc(slices.Clone(s.Drains), func(d core.Drain) bool { return d.Target == target })
	if len(shifts) == len(s.Shifts) && len(drains) == len(s.Drains) {
		return s, codes.New(codes.ChangeInvalid, "sheet: there is no shift or drain of %q to resume", target)
	}
	s.Shifts, s.Drains = shifts, drains
	return s, nil
}

func setWorkspaceRate(s core.Sheet, w core.Workspace) (core.Sheet, error) {
	i := slices.IndexFunc(s.Workspaces, func(other core.Workspace) bool { return other.Name == w.Name })
	if i < 0 {
		return s, codes.New(codes.ChangeInvalid, "sheet: workspace %q does not exist", w.Name)
	}
	s.Workspaces = slices.Clone(s.Workspaces)
	s.Workspaces[i] = w
	c := &checker{knownWorkspaces: make(map[core.WorkspaceID]bool)}
	c.checkWorkspaces(s)
	return s, changeError(c)
}

// planChecker checks only shifts and drains. It skips the client blocks, of which
// there may be 930,000.
func planChecker(s core.Sheet) *checker {
	c := &checker{knownRegions: make(map[core.RegionID]bool), knownDomains: make(map[core.DomainID]bool)}
	for _, r := range s.Regions {
		c.knownRegions[r.Name] = true
		for _, d := range r.Domains {
			c.knownDomains[d] = true
		}
	}
	c.checkPlans(s)
	return c
}

func changeError(c *checker) error {
	return codes.Wrap(c.err(), codes.ChangeInvalid, "sheet: change is invalid")
}
