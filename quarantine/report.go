package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
)

// Crash is the unplanned end of a replica's process, with the requests of one daemon that the replica had.
type Crash struct {
	Replica  string   `json:"replica"`  // the incarnation
	Requests [][]byte `json:"requests"` // their fingerprints
	// Parts holds, for each request, the parts of its prompt if the replica had not begun to answer: for each part
	// its hash and a byte with its popularity at the daemon. Earlier versions do not write it.
	Parts [][]byte `json:"parts,omitempty"`
}

// Clearance names crashes that a part of prompts did not cause, since an answer to a prompt with it began later.
type Clearance struct {
	Part     []byte   `json:"part"` // its hash
	Replicas []string `json:"replicas"`
}

// Trial is a quarantined request, or one with a quarantined part, that was sent to a replica to find out whether it still
// crashes the replica. Earlier versions write the part and the number alone, count each trial as one that crashed its
// replica, and know no trials of whole requests.
type Trial struct {
	Part   []byte `json:"part,omitempty"` // its hash; empty in a trial of a whole request
	Number int    `json:"number"`         // of trials so far
	// Request is the fingerprint of the request.
	Request []byte `json:"request,omitempty"`
	// Crashes are some of the crashes for which the part was quarantined.
	Crashes []string `json:"crashes,omitempty"`
	// Replicas are those that the latest trials went to, oldest first.
	Replicas []trialReplica `json:"replicas,omitempty"`
	// Withdrawn means that no replica saw the request of the latest trial.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// trialReplica is the replica that a trial went to.
type trialReplica struct {
	ID      string `json:"id"`
	Born    int64  `json:"born,omitempty"` // start time, as in fleet.Incarnation
	Address string `json:"address"`
}

// Incarnation returns the replica's process.
func (r trialReplica) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: r.ID, Born: r.Born}
}

// Report holds the observations of one daemon within a short time. It is stored as a record of the
// platform's key-value service.
type Report struct {
	Crashes []Crash `json:"ends,omitempty"`
	// Served holds the fingerprints of requests that a replica served completely, which clears them
	// of the crashes reported before.
	Served  [][]byte    `json:"served,omitempty"`
	Cleared []Clearance `json:"cleared,omitempty"`
	Trial   *Trial      `json:"trial,omitempty"`
}

// reportedPart is a part of a request's prompt in a report.
type reportedPart struct {
	hash       PartHash
	popularity uint8
}

const reportedPartBytes = partHashBytes + 1

// partsOf returns the parts of a crash's request, in order.
func (c Crash) partsOf(index int) (parts []reportedPart) {
	if index >= len(c.Parts) {
		return nil
	}
	for data := c.Parts[index]; len(data) >= reportedPartBytes; data = data[reportedPartBytes:] {
		parts = append(parts, reportedPart{PartHash(data[:partHashBytes]), data[partHashBytes]})
	}
	return parts
}

func encodeParts(parts []reportedPart) []byte {
	data := make([]byte, 0, len(parts)*reportedPartBytes)
	for _, part := range parts {
		data = append(append(data, part.hash[:]...), part.popularity)
	}
	return data
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
	if report.Trial != nil && report.Trial.Request != nil {
		fingerprints = append(fingerprints, report.Trial.Request)
	}
	for _, fingerprint := range fingerprints {
		if len(fingerprint) != FingerprintBytes {
			return Report{}, errors.Errorf("fingerprint has %d bytes, want %d", len(fingerprint), FingerprintBytes)
		}
	}
	return report, report.checkParts()
}

// checkParts checks what the report says of parts of prompts.
func (r Report) checkParts() error {
	var hashes [][]byte
	for _, clearance := range r.Cleared {
		hashes = append(hashes, clearance.Part)
	}
	if r.Trial != nil {
		if len(r.Trial.Part) > 0 {
			hashes = append(hashes, r.Trial.Part)
		}
		if r.Trial.Request == nil && (len(r.Trial.Part) == 0 || len(r.Trial.Replicas) > 0) {
			return errors.New("trial names no request")
		}
	}
	for _, hash := range hashes {
		if len(hash) != partHashBytes {
			return errors.Errorf("hash of a prompt's part has %d bytes, want %d", len(hash), partHashBytes)
		}
	}
	for _, crash := range r.Crashes {
		for _, parts := range crash.Parts {
			if len(parts)%reportedPartBytes != 0 {
				return errors.Errorf("parts of a prompt have %d bytes, want a multiple of %d", len(parts), reportedPartBytes)
			}
		}
	}
	return nil
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

// partCount returns the number of hashes of parts in the report.
func (r Report) partCount() int {
	partCount := 0
	for _, crash := range r.Crashes {
		for _, parts := range crash.Parts {
			partCount += len(parts) / reportedPartBytes
		}
	}
	for _, clearance := range r.Cleared {
		partCount += len(clearance.Replicas)
	}
	return partCount
}

// addCrash adds a request to the crash of a replica, once. parts are those of its prompt if the replica had not begun
// to answer it.
func (r *Report) addCrash(replica string, request Fingerprint, parts []reportedPart) {
	index := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.Replica == replica })
	if index < 0 {
		index = len(r.Crashes)
		r.Crashes = append(r.Crashes, Crash{Replica: replica})
	}
	crash := &r.Crashes[index]
	if containsFingerprint(crash.Requests, request) {
		return
	}
	crash.Requests = append(crash.Requests, request[:])
	crash.Parts = append(crash.Parts, encodeParts(parts))
}

// namesCrashOf reports whether the report names a crash of a replica that had a request.
func (r *Report) namesCrashOf(request Fingerprint) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return containsFingerprint(crash.Requests, request) })
}

// addClearance adds a crash that a part did not cause.
func (r *Report) addClearance(part PartHash, replica string) {
	index := slices.IndexFunc(r.Cleared, func(clearance Clearance) bool { return PartHash(clearance.Part) == part })
	if index < 0 {
		index = len(r.Cleared)
		r.Cleared = append(r.Cleared, Clearance{Part: part[:]})
	}
	r.Cleared[index].Replicas = append(r.Cleared[index].Replicas, replica)
}

// replicas returns the replicas whose crashes the report names, with repetitions.
func (r Report) replicas() (replicas []string) {
	for _, crash := range r.Crashes {
		replicas = append(replicas, crash.Replica)
	}
	for _, clearance := range r.Cleared {
		replicas = append(replicas, clearance.Replicas...)
	}
	return replicas
}

// clone returns a copy that later additions do not change.
func (r Report) clone() Report {
	copied := Report{Served: slices.Clone(r.Served), Trial: r.Trial}
	for _, crash := range r.Crashes {
		copied.Crashes = append(copied.Crashes, Crash{Replica: crash.Replica, Requests: slices.Clone(crash.Requests), Parts: slices.Clone(crash.Parts)})
	}
	for _, clearance := range r.Cleared {
		copied.Cleared = append(copied.Cleared, Clearance{Part: clearance.Part, Replicas: slices.Clone(clearance.Replicas)})
	}
	return copied
}
