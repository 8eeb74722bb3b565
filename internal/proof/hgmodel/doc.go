// Package hgmodel plays agent programs on model engines in virtual time, so that ways to place and queue their turns can
// be compared in seconds. The engines batch, read prompts in chunks between tokens, keep parts of prompts while memory
// lasts, and refuse what their queue does not hold; the parts of the product that decide are the real ones.
package hgmodel
