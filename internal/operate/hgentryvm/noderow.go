package hgentryvm

import (
	"net"
	"strconv"

	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
)

// decodeNode decodes the row of a node. A row that no node can have written is an error, as the nodes in the table count towards
// the majority.
func decodeNode(row hgstore.Row) (i hgpeer.Info, err error) {
	defer func() { err = trace.Wrap(err, "row %q", row.Key) }()
	if i, err = infoCodec.Decode(row.Value); err != nil {
		return i, err
	}
	if i.Name == "" || row.Key != nodeKey(i.Name) {
		return i, trace.BadParameter("row of a node named %q", i.Name)
	}
	if i.Boot == "" || i.Started <= 0 {
		return i, trace.BadParameter("no start of a process")
	}
	for _, address := range []string{i.Peer, i.Public} {
		host, port, err := net.SplitHostPort(address)
		if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
			return i, trace.BadParameter("address %q", address)
		}
	}
	return i, nil
}
