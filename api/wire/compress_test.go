package wire_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// TestLongTextsAreCompressed checks that texts below and above the compression threshold survive
// a round trip, and that long texts are short on the wire.
func TestLongTextsAreCompressed(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "short": "[service:a]\nkind = plain\n", "long": strings.Repeat("[route:a]\nhost = b\n", 10_000)} {
		t.Run(name, func(t *testing.T) {
			roundTrip(t, wire.ConfigText{Version: 3, Text: text, Hash: 7})
			roundTrip(t, wire.PutRequest{Version: 3, Text: text})
			roundTrip(t, wire.ConfigDelta{Base: 2, Version: 3, Hash: 7, Pieces: []wire.TextPiece{{From: 1, Count: 2}, {Text: text}}})
		})
	}
}

func roundTrip[T any](t *testing.T, sent T) {
	t.Helper()
	data, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 2*wire.MinCompressBytes {
		t.Errorf("%T has %d bytes on the wire", sent, len(data))
	}
	var got T
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("%T changed in a round trip", sent)
	}
}

// TestDamagedTextsAreRefused decodes compressed texts that are truncated, or that would
// decompress to more than a process can hold.
func TestDamagedTextsAreRefused(t *testing.T) {
	valid := wire.Compress([]byte(strings.Repeat("a line of a text\n", 1000)))
	oversized := wire.Compress(make([]byte, 65<<20))
	for name, compressed := range map[string][]byte{"truncated": valid[:len(valid)/2], "not compressed": []byte("\xffplain"), "too long": oversized} {
		if _, err := wire.Decompress(compressed); !errors.Is(err, wire.ErrDecompress) {
			t.Errorf("%s: %v", name, err)
		}
		data, err := json.Marshal(map[string]any{"version": 1, "packed": compressed})
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(data, new(wire.ConfigText)); err == nil {
			t.Errorf("%s: accepted as a ConfigText", name)
		}
		if err := json.Unmarshal(data, new(wire.PutRequest)); err == nil {
			t.Errorf("%s: accepted as a PutRequest", name)
		}
		if err := json.Unmarshal(data, new(wire.ConfigDelta)); err == nil {
			t.Errorf("%s: accepted as a ConfigDelta", name)
		}
	}
}

// FuzzDecompress decompresses arbitrary bytes.
func FuzzDecompress(f *testing.F) {
	f.Add(wire.Compress([]byte("[service:a]\n")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, compressed []byte) {
		data, err := wire.Decompress(compressed)
		if err != nil {
			return
		}
		roundTripped, err := wire.Decompress(wire.Compress(data))
		if err != nil || string(roundTripped) != string(data) {
			t.Fatalf("%d bytes became %d in a round trip, error %v", len(data), len(roundTripped), err)
		}
	})
}
