package origin

import (
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// maxBatch bounds the origins in one message.
	maxBatch = 512
	// maxNameBytes bounds the names in messages: of attempts, services, tenants and versions.
	maxNameBytes = 1024
	// maxVersions bounds the versions in an answer.
	maxVersions = 64
	// maxKeepers bounds the keepers in a list.
	maxKeepers = 4096
)

// Errors of messages that are not used; they are wrapped with the part of the message at fault.
var (
	errTooManyOrigins     = errors.Errorf("more than %d origins", maxBatch)
	errTooManyVersions    = errors.Errorf("more than %d software versions", maxVersions)
	errTooManyKeepers     = errors.Errorf("more than %d keepers", maxKeepers)
	errNameTooLong        = errors.Errorf("longer than %d bytes", maxNameBytes)
	errEmptyName          = errors.New("empty")
	errInvalidFingerprint = errors.Errorf("not %d bytes long", quarantine.FingerprintBytes)
	errNegativeAge        = errors.New("negative")
)

// groupKey is what the origins of one group have in common.
type groupKey struct{ service, tenant, version string }

// encodeBatch encodes origins for a keeper.
func encodeBatch(batch []dated, now time.Time) *rpc.StoreOrigins {
	message := &rpc.StoreOrigins{}
	groups := map[groupKey]*rpc.OriginGroup{}
	for _, origin := range batch {
		key := groupKey{origin.Service, origin.Tenant, origin.Version}
		group := groups[key]
		if group == nil {
			group = &rpc.OriginGroup{Service: origin.Service, Tenant: origin.Tenant, Version: origin.Version}
			groups[key] = group
			message.Groups = append(message.Groups, group)
		}
		group.Origins = append(group.Origins, &rpc.StreamOrigin{
			Attempt: origin.Attempt, Fingerprint: origin.Fingerprint[:], AgeMs: max(0, now.Sub(origin.began)).Milliseconds(),
		})
	}
	return message
}

// decodeBatch decodes and checks what encodeBatch encoded.
func decodeBatch(message *rpc.StoreOrigins, now time.Time) ([]dated, error) {
	total := 0
	for _, group := range message.GetGroups() {
		total += len(group.GetOrigins())
	}
	if total > maxBatch || len(message.GetGroups()) > maxBatch {
		return nil, errTooManyOrigins
	}
	batch := make([]dated, 0, total)
	for number, group := range message.GetGroups() {
		if err := checkGroup(group); err != nil {
			return nil, errors.Wrapf(err, "group %d", number)
		}
		for position, origin := range group.GetOrigins() {
			decoded, err := decodeOrigin(group, origin, now)
			if err != nil {
				return nil, errors.Wrapf(err, "group %d, origin %d", number, position)
			}
			batch = append(batch, decoded)
		}
	}
	return batch, nil
}

func checkGroup(group *rpc.OriginGroup) error {
	return firstError(checkName("service", group.GetService()), checkName("tenant", group.GetTenant()), checkName("version", group.GetVersion()))
}

func decodeOrigin(group *rpc.OriginGroup, message *rpc.StreamOrigin, now time.Time) (decoded dated, err error) {
	fingerprint, fingerprintErr := decodeFingerprint(message.GetFingerprint())
	if err = firstError(checkName("attempt", message.GetAttempt()), checkNotEmpty("attempt", message.GetAttempt()), fingerprintErr); err != nil {
		return decoded, err
	}
	if message.GetAgeMs() < 0 {
		return decoded, errors.Wrap(errNegativeAge, "age")
	}
	return dated{Origin: Origin{
		Attempt: message.GetAttempt(), Fingerprint: fingerprint, Service: group.GetService(), Tenant: group.GetTenant(), Version: group.GetVersion(),
	}, began: now.Add(-decodeAge(message.GetAgeMs()))}, nil
}

// decodeAge converts milliseconds to a duration; ages far beyond Horizon do not matter.
func decodeAge(ms int64) time.Duration {
	return time.Duration(min(ms, (2*Horizon).Milliseconds())) * time.Millisecond
}

func encodeQuery(query Query, forward bool) *rpc.FindOrigin {
	return &rpc.FindOrigin{Attempt: query.Attempt, Fingerprint: query.Fingerprint[:], Service: query.Service, Tenant: query.Tenant, Forward: forward}
}

// decodeQuery decodes and checks what encodeQuery encoded.
func decodeQuery(message *rpc.FindOrigin) (Query, error) {
	fingerprint, err := decodeFingerprint(message.GetFingerprint())
	err = firstError(checkName("attempt", message.GetAttempt()), checkName("service", message.GetService()), checkName("tenant", message.GetTenant()), err)
	return Query{Attempt: message.GetAttempt(), Fingerprint: fingerprint, Service: message.GetService(), Tenant: message.GetTenant()}, err
}

func encodeAnswer(given answer, now time.Time) *rpc.OriginAnswer {
	message := &rpc.OriginAnswer{
		Found: given.Found, Version: given.Version, Ambiguous: given.Ambiguous,
		Versions: given.view.Versions[:min(len(given.view.Versions), maxVersions)], Covered: given.view.Covered, Current: given.view.Current, Partial: given.view.Partial,
	}
	if !given.view.OldestBorn.IsZero() {
		message.OldestAgeMs = max(1, now.Sub(given.view.OldestBorn).Milliseconds())
	}
	return message
}

// decodeAnswer decodes and checks what encodeAnswer encoded.
func decodeAnswer(message *rpc.OriginAnswer, now time.Time) (answer, error) {
	if len(message.GetVersions()) > maxVersions {
		return answer{}, errTooManyVersions
	}
	for _, version := range append([]string{message.GetVersion()}, message.GetVersions()...) {
		if err := checkName("version", version); err != nil {
			return answer{}, err
		}
	}
	view := VersionView{Versions: message.GetVersions(), Covered: message.GetCovered(), Current: message.GetCurrent(), Partial: message.GetPartial()}
	if age := message.GetOldestAgeMs(); age > 0 {
		view.OldestBorn = now.Add(-decodeAge(age))
	}
	return answer{Finding: Finding{Version: message.GetVersion(), Found: message.GetFound(), Ambiguous: message.GetAmbiguous()}, view: view}, nil
}

// EncodeKeepers encodes what the leader tells of keepers.
func EncodeKeepers(list KeeperList) *rpc.OriginKeepers {
	message := &rpc.OriginKeepers{MixedServices: list.MixedServices}
	for _, keeper := range list.Keepers {
		message.Keepers = append(message.Keepers, &rpc.OriginKeeper{DaemonId: keeper.Daemon, Address: keeper.Address, Process: keeper.Process})
	}
	return message
}

// DecodeKeepers decodes and checks what EncodeKeepers encoded.
func DecodeKeepers(message *rpc.OriginKeepers) (list KeeperList, err error) {
	if len(message.GetKeepers()) > maxKeepers {
		return list, errTooManyKeepers
	}
	for position, service := range message.GetMixedServices() {
		if err := checkName("name", service); err != nil {
			return list, errors.Wrapf(err, "service %d", position)
		}
	}
	list.MixedServices = message.GetMixedServices()
	for position, keeper := range message.GetKeepers() {
		if err := firstError(checkName("daemon", keeper.GetDaemonId()), checkNotEmpty("daemon", keeper.GetDaemonId()),
			checkName("address", keeper.GetAddress()), checkNotEmpty("address", keeper.GetAddress())); err != nil {
			return KeeperList{}, errors.Wrapf(err, "keeper %d", position)
		}
		list.Keepers = append(list.Keepers, Keeper{Daemon: keeper.GetDaemonId(), Address: keeper.GetAddress(), Process: keeper.GetProcess()})
	}
	return list, nil
}

func decodeFingerprint(data []byte) (fingerprint quarantine.Fingerprint, err error) {
	if len(data) != quarantine.FingerprintBytes {
		return fingerprint, errors.Wrap(errInvalidFingerprint, "fingerprint")
	}
	copy(fingerprint[:], data)
	return fingerprint, nil
}

func checkName(field, name string) error {
	if len(name) > maxNameBytes {
		return errors.Wrap(errNameTooLong, field)
	}
	return nil
}

func checkNotEmpty(field, name string) error {
	if name == "" {
		return errors.Wrap(errEmptyName, field)
	}
	return nil
}

func firstError(candidates ...error) error {
	for _, err := range candidates {
		if err != nil {
			return err
		}
	}
	return nil
}
