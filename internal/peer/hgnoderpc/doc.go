// Package hgnoderpc is the protocol between the nodes of a cell, served at each node's inner port: control messages over
// net/rpc, and forwarded calls over HTTP. Both require the cell's shared key; neither is encrypted.
package hgnoderpc
