// Package hgturn represents the turns of a program as a tree, and returns the history that leads to a turn.
package hgturn
