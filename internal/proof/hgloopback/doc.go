// Package hgloopback gives the processes and sites of tests loopback addresses that they do not take from each other.
package hgloopback
