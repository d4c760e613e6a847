package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Byte sizes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
)

type sizeUnit struct {
	suffix string
	bytes  int64
}

var sizeUnits = []sizeUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}}

// ParseSize parses a byte size such as 24GiB, 512MiB or 1.5GiB.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return 0, errors.Errorf("size %q has no valid number before %s", text, unit.suffix)
		}
		bytes := value * float64(unit.bytes)
		if bytes >= math.MaxInt64 {
			return 0, errors.Errorf("size %q is too large", text)
		}
		return int64(bytes), nil
	}
	return 0, errors.Errorf("size %q has no unit; write it like 24GiB, 512MiB or 64KiB", text)
}

// FormatSize formats a byte size with the largest unit that divides it.
func FormatSize(bytes int64) string {
	for _, unit := range sizeUnits {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return strconv.FormatInt(bytes/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatFloat(float64(bytes)/float64(KiB), 'f', -1, 64) + "KiB"
}

func parsePositiveDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("duration %q is not valid; write it like 30s, 10m or 8h", text)
	}
	if duration <= 0 {
		return 0, errors.Errorf("duration %q is not above zero", text)
	}
	return duration, nil
}
