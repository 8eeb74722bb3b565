// Package hgreach judges from the calls of a node whether a store answers, answers slowly, or does not answer.
package hgreach
