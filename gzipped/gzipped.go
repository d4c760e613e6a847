// Package gzipped compresses byte slices for storage.
package gzipped

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Compress returns data compressed.
func Compress(data []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(data) // a bytes.Buffer takes every write
	_ = writer.Close()
	return buffer.Bytes()
}

// Decompress returns what was compressed; more than limit bytes are an error.
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
