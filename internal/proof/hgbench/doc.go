// Package hgbench compares policies for admission, routing and prefix retention on simulated engines, with programs
// generated from fixed seeds. It waits only through package time, so that it runs in virtual time inside a
// testing/synctest bubble.
package hgbench
