package main

import (
	"fmt"
	"net"
	"net/http"

	"github.com/burdockspindle/burdockspindle/platform/standin"
)

// eraFilter removes the header Store-Era, which the pages in force do not name.
type eraFilter struct{ http.ResponseWriter }

func (w eraFilter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w eraFilter) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// platform is the stand-in of the platform's store and of the operator.
type platform struct {
	store   *standin.Store
	address string
	version int
}

func newPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{store: standin.NewStore(), address: listener.Addr().String()}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.store.ServeHTTP(eraFilter{w}, r) })
	go func() { _ = http.Serve(listener, handler) }()
	return p, nil
}

// Hosts, prefixes and services of the configuration, after the sheet of Kartpara.
const (
	host          = "cards.example"
	checkPrefix   = "/balance/"
	activatePrefx = "/activate/"
	redeemPrefix  = "/redeem/"
	ledger        = "card-ledger"
	desk          = "redeem-desk"
)

// configure writes the next version of the configuration.
func (p *platform) configure() {
	p.version += 2
	text := fmt.Sprintf(`{"version":"%08x","base-version":"%08x",
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":%q,"rules":[
{"name":"balance-check","kind":"safe","slo-s":1,"priority":2,"match":{"path-prefix":%q},"action":{"service":%q,"timeout-s":3,"max-attempts":2}},
{"name":"card-activate","kind":"unsafe","slo-s":1.5,"priority":1,"match":{"path-prefix":%q},"action":{"service":%q,"timeout-s":5,"max-attempts":2}},
{"name":"card-redeem","kind":"unsafe","slo-s":0.8,"priority":0,"match":{"path-prefix":%q},"action":{"service":%q,"timeout-s":2.5,"max-attempts":2}}]}],
"clusters":[
{"name":%q,"health-path":"/healthz","max-conns":580,"protocol":"h1","tls":false,"sharded":true,"warm-s":5.0,"grants":"rpc"},
{"name":%q,"health-path":"/healthz","max-conns":580,"protocol":"h1","tls":false}]}`,
		p.version, p.version-2, host, checkPrefix, ledger, activatePrefx, ledger, redeemPrefix, desk, ledger, desk)
	p.store.Put("keyed.op", "config", []byte(text))
}
