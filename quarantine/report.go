package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// End is the end of a replica's process with the requests that one daemon had there.
type Crash struct {
	Replica  string   `json:"replica"`  // names the incarnation
	Requests [][]byte `json:"requests"` // fingerprints
}

// Report is what one daemon saw within a short time. It is kept as a record of the platform's
// key-value service.
type Report struct {
	Crashes []Crash `json:"ends,omitempty"`
	// Served are fingerprints of requests that a replica served whole although others had
	// ended with them: those ends had another cause.
	Served [][]byte `json:"served,omitempty"`
}

// ParseReport reads a report as Encode writes it.
func ParseReport(data []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(data, &report); err != nil {
		return Report{}, errors.Wrap(err, "decode a report of replicas that ended")
	}
	fingerprints := slices.Clone(report.Served)
	for _, end := range report.Crashes {
		fingerprints = append(fingerprints, end.Requests...)
	}
	for _, one := range fingerprints {
		if len(one) != FingerprintBytes {
			return Report{}, errors.Errorf("a fingerprint has %d bytes in place of %d", len(one), FingerprintBytes)
		}
	}
	return report, nil
}

// Encode writes a report as a record's value.
func (r Report) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode a report of replicas that ended")
}

// size returns how many fingerprints the report names.
func (r Report) size() int {
	size := len(r.Served)
	for _, end := range r.Crashes {
		size += len(end.Requests)
	}
	return size
}

// addEnd notes that a replica ended while it had a request.
func (r *Report) addEnd(replica string, request Fingerprint) {
	index := slices.IndexFunc(r.Crashes, func(end Crash) bool { return end.Replica == replica })
	if index < 0 {
		index = len(r.Crashes)
		r.Crashes = append(r.Crashes, Crash{Replica: replica})
	}
	if names(r.Crashes[index].Requests, request) {
		return
	}
	r.Crashes[index].Requests = append(r.Crashes[index].Requests, request[:])
}

// clone returns a copy that later additions do not change.
func (r Report) clone() Report {
	copied := Report{Served: slices.Clone(r.Served)}
	for _, end := range r.Crashes {
		copied.Crashes = append(copied.Crashes, Crash{Replica: end.Replica, Requests: slices.Clone(end.Requests)})
	}
	return copied
}
