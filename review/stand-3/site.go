package main

import (
	"os"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

// Figures of a small deployment, as the sheets have them.
const (
	storeDelayMs  = 4
	vmMemoryMB    = 154
	vmDescriptors = 8200
	vmCores       = 0.8
)

var (
	readyLimit   = 20 * time.Second
	settleTime   = 5 * time.Second
	restartDelay = 500 * time.Millisecond
	contactTime  = 3 * time.Second // contact_ms
	drainTime    = 2 * time.Second // drain_ms
)

// deployment is a store, replicas and the processes of entry VMs.
type deployment struct {
	*hgsite.Site
	dir string
	vms []*vm
	// domains are the failure domains.
	domains []string
	// links are the proxies between the VMs and the store.
	links []*link
}

// newDeployment starts a deployment with a number of VMs, which are spread over failure domains in turn, and waits until all are ready.
func newDeployment(r *record, vms int, domains []string) (d *deployment, err error) {
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}
	site, err := hgsite.NewSite(0, nil)
	if err != nil {
		return nil, err
	}
	d = &deployment{Site: site, dir: dir, domains: domains}
	site.Store.SetFault(hgstore.Fault{DelayMs: storeDelayMs})
	for range vms {
		if err := d.add(); err != nil {
			d.close()
			return nil, err
		}
	}
	if err := awaitReady(d.vms, readyLimit); err != nil {
		d.close()
		return nil, err
	}
	time.Sleep(settleTime)
	r.printf("%d VMs are ready; their settings and logs are in a temporary folder", vms)
	return d, nil
}

// add starts one more VM.
func (d *deployment) add() (err error) {
	k, err := newLink(d.StoreAddress())
	if err != nil {
		return err
	}
	cfg, err := d.AddConfig(k.address())
	if err != nil {
		return err
	}
	cfg.VM.MemoryMB, cfg.VM.MaxDescriptors, cfg.VM.Cores = vmMemoryMB, vmDescriptors, vmCores
	cfg.VM.Domains, cfg.VM.Domain = d.domains, d.domains[len(d.vms)%len(d.domains)]
	v, err := startVM(d.dir, cfg)
	if err != nil {
		return err
	}
	d.vms, d.links = append(d.vms, v), append(d.links, k)
	return nil
}

// restart starts the process of a VM that was killed; the site has started before.
func (d *deployment) restart(i int) (err error) {
	cfg := d.vms[i].cfg
	cfg.VM.FirstStart = false
	v, err := startVM(d.dir, cfg)
	if err == nil {
		d.vms[i] = v
	}
	return err
}

// inDomain returns the VMs of a failure domain.
func (d *deployment) inDomain(name string) (vms []int) {
	for i, v := range d.vms {
		if v.cfg.VM.Domain == name {
			vms = append(vms, i)
		}
	}
	return vms
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
	}
	d.Site.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // the folder is a temporary one
	}
}
