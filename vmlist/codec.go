package vmlist

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Limits of one list.
const (
	MaxBytes   = 16 << 20 // size of the JSON form
	maxIDBytes = 128      // length of an ID or another name
)

// document is the JSON form of a list.
type document struct {
	VMs *[]row `json:"vms"`
}

type row struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Address string `json:"address,omitempty"`
	Phase   Phase  `json:"phase"`
}

// Encode returns the JSON form of a list.
func Encode(vms []VM) ([]byte, error) {
	rows := make([]row, len(vms))
	for i, vm := range vms {
		rows[i] = row{
			ID: vm.ID, Role: vm.Role, Service: string(vm.Service), Zone: string(vm.Zone),
			Region: string(vm.Region), Address: vm.Address, Phase: vm.Phase,
		}
	}
	return json.Marshal(document{VMs: &rows})
}

// Decode parses the JSON form of a list. An invalid row is omitted and counted in
// skipped, so that it does not hide the others; data that is not a list is a
// *MalformedError. Contradictory rows of one ID are merged conservatively, see
// mergeRows.
func Decode(data []byte) (vms []VM, skipped int, err error) {
	if len(data) > MaxBytes {
		return nil, 0, &MalformedError{Problem: "longer than " + strconv.Itoa(MaxBytes) + " bytes"}
	}
	var read document
	if err := json.Unmarshal(data, &read); err != nil {
		return nil, 0, &MalformedError{Problem: err.Error()}
	}
	if read.VMs == nil {
		return nil, 0, &MalformedError{Problem: `no "vms"`}
	}
	byID := make(map[string]VM, len(*read.VMs))
	for _, r := range *read.VMs {
		vm := r.vm()
		if !vm.Valid() {
			skipped++
			continue
		}
		if earlier, repeated := byID[vm.ID]; repeated {
			vm = mergeRows(earlier, vm)
		}
		byID[vm.ID] = vm
	}
	return sorted(byID), skipped, nil
}

func (r row) vm() VM {
	return VM{
		ID: r.ID, Role: r.Role, Service: topo.Service(r.Service), Zone: topo.Zone(r.Zone),
		Region: topo.Region(r.Region), Address: r.Address, Phase: r.Phase,
	}
}

// Valid reports whether a row is usable: it has a known role and phase, an ID and
// a zone, and a row of a server also has a service and an address.
func (vm VM) Valid() bool {
	if !validName(vm.ID) || !validName(string(vm.Zone)) || len(vm.Region) > maxIDBytes {
		return false
	}
	switch vm.Phase {
	case PhaseLive, PhaseLeaving, PhaseGone:
	default:
		return false
	}
	switch vm.Role {
	case RoleEntry:
		return true
	case RoleServer:
		return validName(string(vm.Service)) && validAddress(vm.Address)
	}
	return false
}

// validName reports whether a name is safe as part of a group ID, a shard ID or a
// log line.
func validName(name string) bool {
	if name == "" || len(name) > maxIDBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == '/' || r == '@' || r > '~'
	})
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// mergeRows merges two rows of one ID. If their phases differ, the VM is leaving:
// it gets no new work and is not treated as stopped. All other fields are those of
// the first row.
func mergeRows(first, second VM) VM {
	if first.Phase != second.Phase {
		first.Phase = PhaseLeaving
	}
	return first
}

func sorted(byID map[string]VM) []VM {
	vms := make([]VM, 0, len(byID))
	for _, vm := range byID {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
