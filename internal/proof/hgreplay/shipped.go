package hgreplay

import (
	"bytes"
	"embed"

	"github.com/gravitational/trace"
)

//go:embed traces/*.jsonl
var traceFiles embed.FS

// Shipped returns the programs of a trace that is embedded in the binary: derwent or fjordbom.
func Shipped(name string) (programs []Program, err error) {
	defer func() { err = trace.Wrap(err, "shipped trace %q", name) }()
	data, err := traceFiles.ReadFile("traces/" + name + ".jsonl")
	if err != nil {
		return nil, trace.NotFound("want derwent or fjordbom")
	}
	return Read(bytes.NewReader(data))
}
