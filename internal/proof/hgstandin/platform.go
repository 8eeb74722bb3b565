package hgstandin

import (
	"net/http"

	"hyssopgrade/hgstore"
	hgplatform "hyssopgrade/platform"
)

// Platform is a stand-in for the platform: it serves an in-memory store over the platform's protocol.
type Platform struct {
	*Server
	// Store holds the rows and the VM list, for tests that change them or inject faults directly.
	Store *hgstore.Memory
}

// NewPlatform starts a platform with an empty store at the address. Port 0 selects a free port, see Server.Address.
func NewPlatform(address string) (p *Platform, err error) {
	p = &Platform{Store: hgstore.NewMemory()}
	mux := http.NewServeMux()
	mux.Handle("/v1/", hgplatform.NewStoreHandler(p.Store))
	mux.HandleFunc("PUT /vms", p.setVMs)
	mux.HandleFunc("POST /fault", p.fault)
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Store.Usage()) })
	p.Server, err = listen(address, mux)
	return p, err
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []hgstore.VM
	if readJSON(w, r, &vms) {
		p.Store.SetVMs(vms)
	}
}

func (p *Platform) fault(w http.ResponseWriter, r *http.Request) {
	var f hgstore.Fault
	if readJSON(w, r, &f) {
		p.Store.SetFault(f)
	}
}
