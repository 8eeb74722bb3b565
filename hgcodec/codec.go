package hgcodec

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Codec encodes and decodes values of one type.
type Codec[T any] interface {
	// Encode returns the encoded form of v.
	Encode(v T) (data []byte, err error)
	// Decode returns the value in data. Damaged data, data after the value and unknown fields are BadParameter errors.
	Decode(data []byte) (v T, err error)
	// String returns the name of the codec.
	String() string
}

// JSON is a codec that writes JSON and rejects unknown fields.
type JSON[T any] struct{}

// Encode returns v as JSON in one line.
func (JSON[T]) Encode(v T) (data []byte, err error) {
	defer func() { err = trace.Wrap(err, "encode JSON %T", v) }()
	return json.Marshal(v)
}

// Decode decodes data, which must be exactly one JSON value without unknown fields.
func (JSON[T]) Decode(data []byte) (v T, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, trace.BadParameter("decode JSON %T: %v", v, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return v, trace.BadParameter("decode JSON %T: content after the value", v)
	}
	return v, nil
}

// String returns the codec's name, json.
func (JSON[T]) String() string { return "json" }

// CBOR is a codec that writes CBOR and rejects unknown fields.
type CBOR[T any] struct{}

// strictCBOR rejects unknown fields and limits arrays and maps to 1<<24 elements.
var strictCBOR = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 24,
		MaxMapPairs:       1 << 24,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns v as one CBOR item.
func (CBOR[T]) Encode(v T) (data []byte, err error) {
	defer func() { err = trace.Wrap(err, "encode CBOR %T", v) }()
	return cbor.Marshal(v)
}

// Decode decodes data, which must be exactly one CBOR item without unknown fields.
func (CBOR[T]) Decode(data []byte) (v T, err error) {
	if err := strictCBOR.Unmarshal(data, &v); err != nil {
		return v, trace.BadParameter("decode CBOR %T: %v", v, err)
	}
	return v, nil
}

// String returns the codec's name, cbor.
func (CBOR[T]) String() string { return "cbor" }
