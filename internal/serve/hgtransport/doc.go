// Package hgtransport provides HTTP transports that take no broken message for an answer: an answer that lasts until its connection is
// closed is whole only if the peer has closed it in order.
package hgtransport
