// Package hgendpoint speaks the published protocols of model engines and tool services.
package hgendpoint
