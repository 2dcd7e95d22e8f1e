package vmlist_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/vmlist"
)

func TestUnusableRowsAreLeftOut(t *testing.T) {
	good := `{"id":"ok","role":"entry","zone":"z","phase":"live"}`
	cases := map[string]string{
		"no ID":             `{"role":"entry","zone":"z","phase":"live"}`,
		"no zone":           `{"id":"a","role":"entry","phase":"live"}`,
		"unknown role":      `{"id":"a","role":"cache","zone":"z","phase":"live"}`,
		"unknown phase":     `{"id":"a","role":"entry","zone":"z","phase":"zombie"}`,
		"server, no addr":   `{"id":"a","role":"server","service":"s","zone":"z","phase":"live"}`,
		"server by name":    `{"id":"a","role":"server","service":"s","zone":"z","address":"host:1","phase":"live"}`,
		"server, port 0":    `{"id":"a","role":"server","service":"s","zone":"z","address":"10.0.0.1:0","phase":"live"}`,
		"server, no port":   `{"id":"a","role":"server","service":"s","zone":"z","address":"10.0.0.1","phase":"live"}`,
		"server, no serv.":  `{"id":"a","role":"server","zone":"z","address":"10.0.0.1:1","phase":"live"}`,
		"separator in zone": `{"id":"a","role":"entry","zone":"z/0","phase":"live"}`,
		"control in ID":     `{"id":"a\nb","role":"entry","zone":"z","phase":"live"}`,
		"at sign in ID":     `{"id":"a@1","role":"entry","zone":"z","phase":"live"}`,
		"very long ID":      fmt.Sprintf(`{"id":"%s","role":"entry","zone":"z","phase":"live"}`, strings.Repeat("a", 200)),
	}
	for name, row := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			vms, skipped, err := vmlist.Decode([]byte(`{"vms":[` + row + `,` + good + `]}`))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(skipped).To(gomega.Equal(1))
			g.Expect(vms).To(gomega.HaveLen(1))
			g.Expect(vms[0].ID).To(gomega.Equal("ok"))
		})
	}
}

// TestContradictingRowsAreMergedConservatively decodes two rows with the same ID.
func TestContradictingRowsAreMergedConservatively(t *testing.T) {
	for _, phases := range [][2]vmlist.Phase{
		{vmlist.PhaseLive, vmlist.PhaseLeaving},
		{vmlist.PhaseLive, vmlist.PhaseGone},
		{vmlist.PhaseGone, vmlist.PhaseLeaving},
	} {
		g := gomega.NewWithT(t)
		row := `{"id":"a","role":"entry","zone":"z","phase":"%s"}`
		text := fmt.Sprintf(`{"vms":[`+row+`,`+row+`]}`, phases[0], phases[1])
		vms, _, err := vmlist.Decode([]byte(text))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(vms).To(gomega.HaveLen(1))
		g.Expect(vms[0].Phase).To(gomega.Equal(vmlist.PhaseLeaving), "%v", phases)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"vms":[]}`,
		`{"vms":null}`,
		`{"vms":[{"id":"a","role":"entry","zone":"z","phase":"live"}]}`,
		`{"vms":[{"id":"a","role":"server","service":"s","zone":"z","region":"r","address":"10.0.0.1:80","phase":"gone"},
		  {"id":"a","role":"server","service":"s","zone":"z","address":"[::1]:80","phase":"live"}]}`,
		`{"vms":[{"id":1}]}`,
		`{"vms":{}}`,
		`[]`,
		`{"vms":[{"id":"é","role":"entry","zone":"z","phase":"live"},{}]}`,
		"{\"vms\":[{\"id\":\"\\u0000\",\"role\":\"entry\",\"zone\":\"z\",\"phase\":\"live\"}]}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, skipped, err := vmlist.Decode(data)
		if err != nil {
			var malformed *vmlist.MalformedError
			if !errors.As(err, &malformed) || vms != nil || skipped != 0 {
				t.Fatalf("error %v with %d VMs", err, len(vms))
			}
			return
		}
		for i, vm := range vms {
			if !vm.Valid() || (i > 0 && vms[i-1].ID >= vm.ID) {
				t.Fatalf("row %d of %v is not valid, or out of order", i, vms)
			}
		}
		encoded, err := vmlist.Encode(vms)
		if err != nil {
			t.Fatal(err)
		}
		again, skipped, err := vmlist.Decode(encoded)
		if err != nil || skipped != 0 || !slices.Equal(again, vms) {
			t.Fatalf("%v became %v (%d skipped, %v)", vms, again, skipped, err)
		}
	})
}
