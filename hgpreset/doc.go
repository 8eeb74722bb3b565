// Package hgpreset defines presets, which set the weights and limits of all decisions,
// and the state machine by which a node knows which preset is in force.
package hgpreset
