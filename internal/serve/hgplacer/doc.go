// Package hgplacer gives requests places on replicas for all entry VMs of a failure domain. As it knows exactly what runs
// where, no replica gets more than a few times what it runs at once; the rest waits here in the order of what callers lose.
package hgplacer
