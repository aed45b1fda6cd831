package managedcontrol

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/topology"
)

const (
	// compressFrom is the size in bytes from which on a configuration is compressed: below it, its transfer takes less
	// than 10 ms on a link of 2 Mbit/s.
	compressFrom = 2 << 10
	// maxExpandedBytes bounds the size of a compressed configuration after it is expanded. The largest message that is
	// not compressed may have 16 MB.
	maxExpandedBytes = 16 << 20
)

// configurationChange is the content of SyncReply.Compressed.
type configurationChange struct {
	Configuration *topology.Configuration      `cbor:"1,keyasint,omitempty"`
	Delta         *topology.ConfigurationDelta `cbor:"2,keyasint,omitempty"`
}

// Compress returns the compressed encoding of a configuration or of a delta, for SyncReply.Compressed. It returns nil if
// that is too small to be compressed.
func Compress(configuration *topology.Configuration, delta *topology.ConfigurationDelta) ([]byte, error) {
	encoded, err := cbor.Marshal(configurationChange{configuration, delta})
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}

	if len(encoded) < compressFrom {
		return nil, nil
	}

	var compressed bytes.Buffer

	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}

	if _, err := writer.Write(encoded); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}

	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}

	return compressed.Bytes(), nil
}

// expand sets Configuration or ConfigurationDelta from Compressed.
func (r *SyncReply) expand() error {
	if r.Compressed == nil {
		return nil
	}

	expanded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Compressed)), maxExpandedBytes+1))
	if err != nil {
		return eris.Wrap(err, "expand configuration")
	}

	if len(expanded) > maxExpandedBytes {
		return eris.New("the configuration is larger than a message may be")
	}

	var content configurationChange
	if err := cbor.Unmarshal(expanded, &content); err != nil {
		return eris.Wrap(err, "decode configuration")
	}

	r.Configuration, r.ConfigurationDelta, r.Compressed = content.Configuration, content.Delta, nil

	return nil
}
