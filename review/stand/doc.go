// Command stand runs the cases of the review: it starts entry VMs as separate processes, with the commands of the deploy
// file, beside stand-ins for the platform's store, its servers and its clients, which follow the users' pages. It exits
// with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
//
// Durations are variables: docs/TIMES.md lists the time constants of the product, to which this command does not belong.
package main
