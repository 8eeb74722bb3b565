// Package hgpreset defines presets, which are named sets of weights and limits for routing, queueing, retention and retries. It
// stores which preset is in force, and holds the state machine by which a node knows whether it applies the newest choice.
package hgpreset
