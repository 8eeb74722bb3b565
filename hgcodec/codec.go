package hgcodec

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Codec turns values of one type into bytes and back.
type Codec[T any] interface {
	// Encode returns the encoded form of v.
	Encode(v T) (data []byte, err error)
	// Decode returns the value in data, or a BadParameter error for damaged, trailing or unknown content.
	Decode(data []byte) (v T, err error)
	// String names the codec.
	String() string
}

// JSON is the strict JSON codec.
type JSON[T any] struct{}

// Encode returns v as JSON.
func (JSON[T]) Encode(v T) (data []byte, err error) {
	defer func() { err = trace.Wrap(err, "encode JSON %T", v) }()
	return json.Marshal(v)
}

// Decode reads exactly one JSON value and refuses unknown fields.
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

// String names the codec.
func (JSON[T]) String() string { return "json" }

// CBOR is the strict CBOR codec.
type CBOR[T any] struct{}

var strict = func() cbor.DecMode {
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

// Encode returns v as CBOR.
func (CBOR[T]) Encode(v T) (data []byte, err error) {
	defer func() { err = trace.Wrap(err, "encode CBOR %T", v) }()
	return cbor.Marshal(v)
}

// Decode reads exactly one CBOR value and refuses unknown fields.
func (CBOR[T]) Decode(data []byte) (v T, err error) {
	if err := strict.Unmarshal(data, &v); err != nil {
		return v, trace.BadParameter("decode CBOR %T: %v", v, err)
	}
	return v, nil
}

// String names the codec.
func (CBOR[T]) String() string { return "cbor" }
