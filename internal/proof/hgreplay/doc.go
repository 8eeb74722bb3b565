// Package hgreplay replays recorded traces of programs against a running system in the role of their callers. It checks
// each answer against the program's history, and the endpoints' execution records against the outcomes that the callers
// saw.
package hgreplay
