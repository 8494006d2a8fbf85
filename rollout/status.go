package rollout

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/table"
)

// maxZones bounds the number of zones read at once.
const maxZones = 1000

// ZoneStatus describes a zone in which a version is not confirmed.
type ZoneStatus struct {
	// Zone is empty if no zone has VMs; the version then waits for the first VM.
	Zone string
	// Confirmed is the newest version confirmed in the zone.
	Confirmed Version
	// Missing names the VMs that lack the queried version, as last reported by the zone's
	// confirmer. It is empty if the confirmer has not reported yet.
	Missing []string
}

// Status is the acceptance status of a version.
type Status struct {
	Version Version
	// Accepted means that the version, or a newer one, is in effect on every VM that may serve,
	// in every zone. An accepted version stays accepted.
	Accepted bool
	// Pending lists the zones that have not confirmed it.
	Pending []ZoneStatus
}

// Status reads which zones have confirmed version v. The error is *MissingVersionError if v is
// not in the history.
//
// The rosters are read before the acknowledgements. A zone that is created in between starts at
// the head, which is at least v.
func (s *Store) Status(ctx context.Context, v Version) (Status, error) {
	newest, err := s.Head(ctx)
	if err != nil {
		return Status{}, err
	}
	if v == None || v > newest {
		return Status{}, &MissingVersionError{Version: v}
	}
	zones, err := s.activeAckKeys(ctx)
	if err != nil {
		return Status{}, err
	}
	if len(zones) == 0 {
		return s.statusWithoutVMs(ctx, v)
	}
	status := Status{Version: v, Accepted: true}
	rows, err := s.rows.Get(ctx, zones...)
	if err != nil {
		return Status{}, eris.Wrap(err, "read acknowledgements")
	}
	for _, row := range rows {
		a, err := decodeRow[ack](row)
		if err != nil {
			return Status{}, err
		}
		if a.Version >= v {
			continue
		}
		status.Accepted = false
		z := ZoneStatus{Zone: row.Key.Row[len(ackPrefix):], Confirmed: a.Version}
		if a.Pending >= v {
			z.Missing = a.Missing
		}
		status.Pending = append(status.Pending, z)
	}
	return status, nil
}

// statusWithoutVMs is the status while no zone has VMs. Acknowledgement rows outlive the VMs
// and never decrease, so a version that was accepted has one and stays accepted. Without one,
// no VM ever had the version in effect.
func (s *Store) statusWithoutVMs(ctx context.Context, v Version) (Status, error) {
	rows, err := s.rows.Scan(ctx, Table, ackPrefix, "", maxZones)
	if err != nil {
		return Status{}, eris.Wrap(err, "read acknowledgements")
	}
	for _, row := range rows {
		a, err := decodeRow[ack](row)
		if err != nil {
			return Status{}, err
		}
		if a.Version >= v {
			return Status{Version: v, Accepted: true}, nil
		}
	}
	return Status{Version: v, Pending: []ZoneStatus{{}}}, nil
}

// activeAckKeys returns the keys of the acknowledgement rows of the zones that have VMs.
func (s *Store) activeAckKeys(ctx context.Context) ([]table.Key, error) {
	rows, err := s.rows.Scan(ctx, contact.Table, "", "", maxZones)
	if err != nil {
		return nil, eris.Wrap(err, "read rosters")
	}
	var keys []table.Key
	for _, row := range rows {
		r, err := contact.Decode(row.Value)
		if err != nil {
			return nil, err
		}
		if len(r.VMs) > 0 {
			keys = append(keys, AckKey(row.Key.Row))
		}
	}
	return keys, nil
}
