package hgsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups receives SIGHUP, which announces that settings may have changed.
var Hangups = notify(syscall.SIGHUP)

func notify(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}
