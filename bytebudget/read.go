package bytebudget

import (
	"io"

	"github.com/pkg/errors"
)

// ErrExhausted means that the budget allows no more bytes for now.
var ErrExhausted = errors.New("the daemon holds too many bytes of requests and responses")

// FreeBytes is the size up to which ReadAll reserves nothing, as small inputs are bounded by their number.
const FreeBytes = 4 << 10

// ReadAll reads up to limit bytes and reserves the memory for them before it reads them. length is how many bytes are
// expected; negative if that is unknown. It returns what it has read, with ErrExhausted if the budget does not allow
// more, and without an error at the end of the input or at the limit.
func (r *Reservation) ReadAll(reader io.Reader, length, limit int64) ([]byte, error) {
	size := int64(FreeBytes)
	if length >= 0 {
		size = min(length, limit-1) + 1 // the last byte is for the end of the input
	}
	if size = min(size, limit); size > FreeBytes && !r.GrowTo(size) {
		return nil, ErrExhausted
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) >= limit {
				return data, nil
			}
			grown := min(limit, 2*max(FreeBytes, int64(cap(data))))
			if !r.GrowTo(grown) {
				return data, ErrExhausted
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
