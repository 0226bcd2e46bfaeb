package codec_test

import (
	"reflect"
	"testing"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/wire"
)

// TestForeignBytes guards against texts of clients and upstreams that are not valid UTF-8, which must pass unchanged. A
// frame that cannot be decoded closes the connection between two VMs.
func TestForeignBytes(t *testing.T) {
	c, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	const text = "caf\xe9\x00\xff"
	forward := &wire.QueryForward{
		RequestID: text, Method: "GET", Target: text, Host: text, Header: []wire.HeaderLine{{Name: "X-Name", Value: text}}, Body: []byte(text), Shards: []byte{1},
	}
	result := &wire.QueryResult{Records: []byte(text), Stamps: []string{text}}
	for _, want := range []*wire.Envelope{{Kind: codec.KindQueryForward, QueryForward: forward}, {Kind: codec.KindQueryResult, QueryResult: result}} {
		frame, err := c.EncodeFrame(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.DecodeFrame(frame, len(frame))
		if err != nil {
			t.Errorf("%s: got %v, want it decoded", want.Kind, err)
			continue
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
