// Package hgplacer queues the requests of all entry VMs of a failure domain and places them on replicas. One node of the
// domain does this for all, so it knows exactly which requests run where: no replica gets more than Window times its slots.
// The other requests wait here, ordered by how much their callers lose by waiting.
package hgplacer
