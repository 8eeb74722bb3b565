package hgpreset

import (
	"context"
	"strings"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
)

// definitionPrefix begins the keys of the rows of presets that operators created.
const definitionPrefix = "preset/def/"

// maxDefinitions is the maximum number of created presets that are read.
const maxDefinitions = 1000

// definitionCodec encodes the rows of created presets.
var definitionCodec hgcodec.JSON[Preset]

// Create stores a preset and replaces one of the same name. The names of shipped presets are refused with BadParameter.
// Replacing the preset in force changes nothing until it is chosen again.
func Create(ctx context.Context, store hgstore.Table, p Preset) (err error) {
	defer func() { err = trace.Wrap(err, "create preset %q", p.Name) }()
	if err := p.Check(); err != nil {
		return err
	}
	if _, ok := Shipped()[p.Name]; ok {
		return trace.BadParameter("name %q: a shipped preset has it", p.Name)
	}
	data, err := definitionCodec.Encode(p)
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: definitionPrefix + p.Name, Value: data}}})
	return err
}

// Defined returns all presets, shipped and created, by name. After an error it returns those that could be read.
func Defined(ctx context.Context, store hgstore.Table) (presets map[string]Preset, err error) {
	defer func() { err = trace.Wrap(err, "read presets") }()
	presets = Shipped()
	rows, err := store.Scan(ctx, definitionPrefix, "", maxDefinitions)
	if err != nil {
		return presets, err
	}
	for _, r := range rows {
		p, err := definitionCodec.Decode(r.Value)
		if err != nil {
			return presets, err
		}
		presets[strings.TrimPrefix(r.Key, definitionPrefix)] = p
	}
	return presets, nil
}
