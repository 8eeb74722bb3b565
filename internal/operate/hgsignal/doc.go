// Package hgsignal catches signals from the initialization of the program on. It imports little, so that it is initialized before most
// other packages: a signal that is not caught yet ends the process.
package hgsignal
