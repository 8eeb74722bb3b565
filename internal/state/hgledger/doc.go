// Package hgledger keeps the budgets and turns of programs in the platform's table store.
//
// Any node may serve any program at any time: writes that are conditional on the version of the program's row make that
// safe. A program is mostly served by one node, which holds its state in memory.
package hgledger
