// Package gzipped compresses byte slices for storage.
package gzipped

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Compress returns the gzip encoding of data.
func Compress(data []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(data) // writes to a bytes.Buffer do not fail
	_ = writer.Close()
	return buffer.Bytes()
}

// Decompress decodes gzip data. It fails if the result exceeds limit bytes.
func Decompress(data []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if int64(len(plain)) > limit {
		return nil, errors.Errorf("decompressed data exceeds %d bytes", limit)
	}
	return plain, nil
}
