package settings

import (
	"net/netip"
	"strconv"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// readListener reads an address and its TLS files. anyAddress permits listening
// on every address of the VM, which a listener whose address is announced to
// other nodes must not do.
func readListener(o *jsonc.Object, anyAddress bool) Listener {
	address := o.Required("address")
	listener := Listener{Address: address.Text(), TLS: readTLS(o.Get("tls"))}
	if listener.Address != "" {
		checkListenAddress(address, listener.Address, anyAddress)
	}
	o.Close()
	return listener
}

func checkListenAddress(value *jsonc.Value, text string, anyAddress bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		value.Problem(`must be IP:port such as "10.0.0.7:8443", not ` + strconv.Quote(text))
		return
	}
	if address.Addr().IsUnspecified() && !anyAddress {
		value.Problem("is announced to other nodes, so it must be one IP that they can reach, not " + address.Addr().String())
	}
}

func readTLS(value *jsonc.Value) *TLS {
	if !value.Present() {
		return nil
	}
	o := value.Object()
	files := &TLS{
		CertFile: o.Required("certFile").Text(),
		KeyFile:  o.Required("keyFile").Text(),
	}
	if ca := o.Get("caFile"); ca.Present() {
		files.CAFile = ca.Text()
	}
	o.Close()
	return files
}

func readAdmin(value *jsonc.Value) Admin {
	if !value.Present() {
		return Admin{}
	}
	o := value.Object()
	token := o.Get("token")
	tokenFile := o.Get("tokenFile")
	admin := Admin{Token: token.String(""), TokenFile: tokenFile.String("")}
	checkToken(value, token, tokenFile)
	admin.Listener = readListener(o, true)
	return admin
}

// checkToken requires exactly one source of the token.
func checkToken(admin, token, tokenFile *jsonc.Value) {
	switch {
	case token.Present() && tokenFile.Present():
		tokenFile.Problem("give token or tokenFile, not both")
	case tokenFile.Present():
		tokenFile.Text()
	case token.Present():
		if text := token.String(""); len(text) < minTokenLength {
			token.Problem("must have at least " + strconv.Itoa(minTokenLength) + " characters")
		}
	default:
		admin.Problem("without token or tokenFile there is no administration API: give one, or leave admin out")
	}
}

// checkAddresses rejects two listeners on the same address. Port 0 never
// conflicts, because the system then chooses a free port.
func checkAddresses(root *jsonc.Object, s *Settings) {
	fields := []string{"frontend", "peer", "admin"}
	addresses := []string{s.Frontend.Address, s.Peer.Address, s.Admin.Address}
	for i := range addresses {
		for j := range i {
			if addressesConflict(addresses[i], addresses[j]) {
				root.Get(fields[i]).Problem("has the same address and port as " + fields[j])
			}
		}
	}
}

func addressesConflict(a, b string) bool {
	first, errFirst := netip.ParseAddrPort(a)
	second, errSecond := netip.ParseAddrPort(b)
	if errFirst != nil || errSecond != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	anyAddress := first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
	return anyAddress || first.Addr() == second.Addr()
}

func readSeeds(value *jsonc.Value) []string {
	var seeds []string
	for _, element := range value.Elements() {
		seed := element.Text()
		if seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			element.Problem(`must be IP:port such as "10.0.0.7:7443", not ` + strconv.Quote(seed))
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds
}
