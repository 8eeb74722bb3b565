// Package hgadmit implements admission control: it orders the calls that wait for an endpoint and refuses at once those
// that would wait too long.
package hgadmit
