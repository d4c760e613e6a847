package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Crash is the unplanned end of a replica's process, with the requests of one daemon that the replica had.
type Crash struct {
	Replica  string   `json:"replica"`  // the incarnation
	Requests [][]byte `json:"requests"` // their fingerprints
}

// Report holds the observations of one daemon within a short time. It is stored as a record of the
// platform's key-value service.
type Report struct {
	Crashes []Crash `json:"ends,omitempty"`
	// Served holds the fingerprints of requests that a replica served completely, which clears them
	// of the crashes reported before.
	Served [][]byte `json:"served,omitempty"`
}

// ParseReport decodes a report that Encode wrote.
func ParseReport(data []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(data, &report); err != nil {
		return Report{}, errors.Wrap(err, "decode replica crash report")
	}
	fingerprints := slices.Clone(report.Served)
	for _, crash := range report.Crashes {
		fingerprints = append(fingerprints, crash.Requests...)
	}
	for _, fingerprint := range fingerprints {
		if len(fingerprint) != FingerprintBytes {
			return Report{}, errors.Errorf("fingerprint has %d bytes, want %d", len(fingerprint), FingerprintBytes)
		}
	}
	return report, nil
}

// Encode returns the report as the JSON value of its record.
func (r Report) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode replica crash report")
}

func (r Report) fingerprintCount() int {
	fingerprintCount := len(r.Served)
	for _, crash := range r.Crashes {
		fingerprintCount += len(crash.Requests)
	}
	return fingerprintCount
}

// addCrash adds a request to the crash of a replica, once.
func (r *Report) addCrash(replica string, request Fingerprint) {
	index := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.Replica == replica })
	if index < 0 {
		index = len(r.Crashes)
		r.Crashes = append(r.Crashes, Crash{Replica: replica})
	}
	if containsFingerprint(r.Crashes[index].Requests, request) {
		return
	}
	r.Crashes[index].Requests = append(r.Crashes[index].Requests, request[:])
}

// clone returns a copy that later calls of addCrash do not change.
func (r Report) clone() Report {
	copied := Report{Served: slices.Clone(r.Served)}
	for _, crash := range r.Crashes {
		copied.Crashes = append(copied.Crashes, Crash{Replica: crash.Replica, Requests: slices.Clone(crash.Requests)})
	}
	return copied
}
