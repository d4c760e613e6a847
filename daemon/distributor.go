package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// watchersPerZone is how many daemons of a zone watch the key-value service. The others
	// learn of new revisions by gossip and fetch them from a peer.
	watchersPerZone      = 2
	watcherCheckInterval = 500 * time.Millisecond
	fetchTimeout         = 2 * time.Second
)

// settingsDistributor brings accepted settings revisions, from the key-value service or
// from peers, into effect in this daemon. It is a suture service and serves the Settings
// rpc.
type settingsDistributor struct {
	store     *settings.Store
	registry  *settings.Registry
	members   *membership.Service
	log       logrus.FieldLogger
	fetchFrom chan string // ids of members that announced a newer revision
}

func newSettingsDistributor(store *settings.Store, registry *settings.Registry, members *membership.Service, log logrus.FieldLogger) *settingsDistributor {
	distributor := &settingsDistributor{store: store, registry: registry, members: members, log: log, fetchFrom: make(chan string, 1)}
	store.Subscribe(func(revision *settings.Revision) {
		log.WithFields(logrus.Fields{"revision": revision.Number, "author": revision.Author}).Info("settings in effect")
		members.Announce(revision.Number)
		// Decoding a large settings tree needs several times its size in memory. Revisions
		// are rare enough to return that memory to the system each time.
		debug.FreeOSMemory()
	})
	members.SetRevisionHandler(func(memberID string, _ uint64) {
		select {
		case distributor.fetchFrom <- memberID:
		default: // a fetch is pending; gossip repeats the announcement
		}
	})
	return distributor
}

// String names the service in the supervisor's events.
func (s *settingsDistributor) String() string { return "settings-spreader" }

// Serve implements suture.Service.
func (s *settingsDistributor) Serve(ctx context.Context) error {
	go s.watchWhileAssigned(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case memberID := <-s.fetchFrom:
			if err := s.fetch(ctx, memberID); err != nil {
				s.log.WithError(err).WithField("member", memberID).Debug("settings not fetched; gossip repeats the announcement")
			}
		}
	}
}

// watchWhileAssigned watches the key-value service while this daemon is one of its zone's
// settings watchers.
func (s *settingsDistributor) watchWhileAssigned(ctx context.Context) {
	for ctx.Err() == nil {
		if s.members.View().IsSettingsWatcher(watchersPerZone) {
			s.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watcherCheckInterval):
		}
	}
}

func (s *settingsDistributor) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && s.members.View().IsSettingsWatcher(watchersPerZone) {
			select {
			case <-ctx.Done():
			case <-time.After(watcherCheckInterval):
			}
		}
	}()
	_ = s.registry.Follow(ctx, s.store, func(err error) { // returns only when ctx ends
		s.log.WithError(err).Error("cannot read accepted settings; the previous revision stays in effect")
	})
}

// fetch gets the current settings of a member and applies them if they are newer.
func (s *settingsDistributor) fetch(ctx context.Context, memberID string) error {
	member, known := s.members.View().Member(memberID)
	if !known {
		return errors.New("the member is not in the membership view yet")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	connection, err := transport.Dial(ctx, member.RPCAddress)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	response, err := rpc.NewDRPCSettingsClient(connection).Fetch(ctx, &rpc.FetchSettings{KnownRevision: s.store.Number()})
	if err != nil {
		return errors.Wrap(err, "fetch settings")
	}
	if response.GetRevision() <= s.store.Number() {
		return nil
	}
	revision, err := settings.Decode(settings.Record{
		Number: response.GetRevision(), OperationID: response.GetOperationId(), Author: response.GetAuthor(),
		AppliedAt: time.UnixMilli(response.GetAppliedUnixMs()).UTC(), Compressed: response.GetTree(),
	})
	if err != nil {
		return err
	}
	s.store.Advance(revision)
	return nil
}

// Fetch implements the Settings rpc: it returns the current revision if the peer does not
// have it.
func (s *settingsDistributor) Fetch(_ context.Context, query *rpc.FetchSettings) (*rpc.SettingsRevision, error) {
	current := s.store.Current()
	if current == nil || current.Number <= query.GetKnownRevision() {
		return &rpc.SettingsRevision{}, nil
	}
	record := settings.Encode(current)
	return &rpc.SettingsRevision{
		Revision: record.Number, OperationId: record.OperationID, Author: record.Author,
		AppliedUnixMs: record.AppliedAt.UnixMilli(), Tree: record.Compressed,
	}, nil
}
