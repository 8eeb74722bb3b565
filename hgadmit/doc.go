// Package hgadmit orders the calls that wait for an endpoint and refuses early those that would wait too long.
package hgadmit
