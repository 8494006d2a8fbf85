package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/springweir/springweir/contact"
	pb "github.com/springweir/springweir/operator/operatorpb"
	standinengine "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/platform"
)

// ctl runs springweirctl against all controllers, and returns output and exit code.
func (s *site) ctl(args ...string) (string, int) {
	var servers []string
	for _, v := range s.vms {
		servers = append(servers, v.operators())
	}
	return s.run(strings.Join(servers, ","), args)
}

// ctlAt runs springweirctl against one VM's controller.
func (s *site) ctlAt(v *vm, args ...string) (string, int) { return s.run(v.operators(), args) }

func (s *site) run(servers string, args []string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "springweirctl"), append([]string{"--server", servers}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Errorf("springweirctl %v: %v", args, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (s *site) mustCtl(args ...string) string {
	s.t.Helper()
	out, code := s.ctl(args...)
	if code != 0 {
		s.t.Fatalf("springweirctl %v exited with code %d: %s", args, code, out)
	}
	return out
}

// status returns the fleet status that a VM's controller reports, or an empty one if the
// controller doesn't respond.
func (s *site) status(v *vm) *pb.FleetStatus {
	out, code := s.ctlAt(v, "status", "--output", "json")
	status := &pb.FleetStatus{}
	if code != 0 || (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal([]byte(out), status) != nil {
		return &pb.FleetStatus{Config: &pb.ConfigState{}}
	}
	return status
}

// leaseHolder returns the VM that holds the lease of a pool in the zone of v according to v's
// controller, or "" if there is none.
func (s *site) leaseHolder(v *vm, pool string) string {
	for _, l := range s.status(v).Leases {
		if l.Pool == pool && l.Zone == v.zone {
			return l.Holder
		}
	}
	return ""
}

// roster reads a zone's roster from the table.
func (s *site) roster(zone string) contact.Roster {
	s.t.Helper()
	rows, err := s.table.Get(context.Background(), contact.Key(zone))
	if err != nil {
		s.t.Fatal(err)
	}
	r, err := contact.Decode(rows[0].Value)
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// setFaults injects faults into the platform; the zero value clears them.
func (s *site) setFaults(f platform.Faults) {
	s.t.Helper()
	s.post(s.platformAddress(), platform.FaultsPath, f)
}

// history returns the attempts and orders that an engine stand-in has recorded.
func (s *site) history(e *endpoint) standinengine.History {
	s.t.Helper()
	var h standinengine.History
	if err := get(e.address, "/admin/history", &h); err != nil {
		s.t.Fatalf("history of %s: %v", e.name, err)
	}
	return h
}

// serviceRuns returns how often each call ran at a service endpoint, by idempotency key.
func (s *site) serviceRuns(e *endpoint) map[string]int {
	s.t.Helper()
	var runs map[string]int
	if err := get(e.address, "/admin/runs", &runs); err != nil {
		s.t.Fatalf("runs of %s: %v", e.name, err)
	}
	return runs
}

func ready(v *vm) bool { return get(v.metrics(), "/readyz", nil) == nil }

// get sends a GET request, requires status 200, and decodes the JSON body into value unless value
// is nil.
func get(address, path string, value any) error {
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(data, value)
}

func (s *site) post(address, path string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("POST %s: status %d", path, resp.StatusCode)
	}
}
