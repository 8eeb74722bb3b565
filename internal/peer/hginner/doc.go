// Package hginner is the protocol between the nodes of a cell: control messages over net/rpc and forwarded calls over HTTP.
// Both demand the cell's shared key; neither encrypts.
package hginner
