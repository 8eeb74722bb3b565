// Package hgtransport provides an HTTP transport that takes no broken message for an answer: the names of the fields are valid, and an
// answer that lasts until its connection is closed is whole only if the peer has closed it in order.
package hgtransport
