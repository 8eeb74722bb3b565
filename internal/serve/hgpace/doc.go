// Package hgpace decides from the answers of replicas how much each of them gets: which are suspected of hanging, how slow their machines
// are, and how many requests a replica may have in flight that has just started or recovered. All times are readings of one hgtimer.Timer.
package hgpace
