package hgsite_test

import (
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

// outage makes the store unreachable, or reachable again.
func outage(s *hgsite.Site, down bool) { s.Store.SetFault(hgstore.Fault{Down: down}) }
