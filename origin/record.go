package origin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// recordInterval is the time between two checks whether the record is up to date.
	recordInterval = 250 * time.Millisecond
	// recordRetryDelay is the time until a write that failed is tried again.
	recordRetryDelay = time.Second
	// recordWriteTimeout bounds one write.
	recordWriteTimeout = 2 * time.Second
)

// VersionRecord keeps, in the key-value service, the software versions of each service that serve or did within Horizon.
// Daemons that have just started know from it which versions may have begun a stream, also if all daemons ended at
// once. The leader writes it when a version comes or goes. It is a suture service and safe for concurrent use.
type VersionRecord struct {
	Key   string
	Store kv.Store
	// Leads reports whether this daemon writes the record.
	Leads func() bool
	// Watched returns for how long this daemon has known all replicas; false if it does not.
	Watched func() (time.Duration, bool)
	// Versions returns, by service, the versions that this daemon knows to serve or to have served within Horizon.
	Versions func() map[string][]string
	Log      logrus.FieldLogger

	mutex    sync.Mutex
	services map[string][]string // as recorded
	revision int64               // of the record; zero if there is none
}

// recordValue is the value of the record.
type recordValue struct {
	Services map[string][]string `json:"services"`
}

// RecordedVersions returns the versions in a record, by service.
func RecordedVersions(pair kv.Pair) (map[string][]string, error) {
	var value recordValue
	err := json.Unmarshal(pair.Value, &value)
	return value.Services, errors.Wrapf(err, "decode the record %s", pair.Key)
}

// Observe takes a change of the record.
func (r *VersionRecord) Observe(event kv.Event) {
	if event.Pair.Key != r.Key {
		return
	}
	var services map[string][]string
	if !event.Deleted {
		var err error
		if services, err = RecordedVersions(event.Pair); err != nil {
			r.Log.WithField(logging.Cause, err.Error()).Warn("record of software versions ignored")
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.services, r.revision = services, event.Pair.ModRevision
	if event.Deleted {
		r.revision = 0
	}
}

// VersionsOf returns the recorded versions of a service; none if it is not recorded.
func (r *VersionRecord) VersionsOf(service string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.services[service])
}

// String names the service in the supervisor's events.
func (r *VersionRecord) String() string { return "software-version-record" }

// Serve implements suture.Service.
func (r *VersionRecord) Serve(ctx context.Context) error {
	for {
		delay := recordInterval
		if err := r.update(ctx); err != nil {
			r.Log.WithFields(logrus.Fields{logging.Dependency: "key-value service", logging.Cause: err.Error()}).Info("record of software versions not written yet; will retry")
			delay = recordRetryDelay
		}
		if !sleep.For(ctx, delay) {
			return ctx.Err()
		}
	}
}

// update writes the record if this daemon is the leader and the record is out of date.
func (r *VersionRecord) update(ctx context.Context) error {
	watched, complete := r.Watched()
	if !complete || !r.Leads() {
		return nil
	}
	known := r.Versions()
	r.mutex.Lock()
	wanted := recordOf(known, r.services, watched)
	upToDate := maps.EqualFunc(wanted, r.services, slices.Equal[[]string])
	condition := kv.Condition{Key: r.Key, ModRevision: r.revision}
	r.mutex.Unlock()
	if upToDate {
		return nil
	}
	txn := kv.Txn{Conditions: []kv.Condition{condition}, Deletes: []string{r.Key}}
	if len(wanted) > 0 {
		value, err := json.Marshal(recordValue{wanted})
		if err != nil {
			return errors.Wrap(err, "encode the record of software versions")
		}
		txn.Deletes, txn.Puts = nil, []kv.Put{{Key: r.Key, Value: value}}
	}
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	result, err := r.Store.Commit(ctx, txn)
	if err == nil && !result.Succeeded {
		err = errors.Errorf("the record %s has changed meanwhile", r.Key)
	}
	return err
}

// recordOf returns the versions to record: those that are known, and for Horizon those that an earlier leader
// recorded, which this daemon may not have seen.
func recordOf(known, recorded map[string][]string, watched time.Duration) map[string][]string {
	wanted := map[string][]string{}
	for service, versions := range known {
		if watched < Horizon {
			versions = appendMissing(slices.Clone(versions), recorded[service])
			slices.Sort(versions)
		}
		if len(versions) > 0 {
			wanted[service] = versions
		}
	}
	return wanted
}
