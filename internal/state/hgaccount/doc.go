// Package hgaccount implements the arithmetic of a program's token budget, which several nodes charge concurrently.
package hgaccount
