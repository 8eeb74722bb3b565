// Package hgcap enforces the usage caps of teams over all nodes: each team has an owner, from which nodes lease what their callers need.
package hgcap
