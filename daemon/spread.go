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
	// watchersPerZone is how many daemons of a zone follow the key-value service;
	// the others hear of a revision by gossip and fetch it from a peer.
	watchersPerZone = 2
	watcherCheck    = 500 * time.Millisecond
	fetchTimeout    = 2 * time.Second
)

// spreader puts accepted settings revisions in force in this daemon, from the
// key-value service or from peers. It is a suture service and serves the Settings
// rpc.
type spreader struct {
	store    *settings.Store
	registry *settings.Registry
	members  *membership.Service
	log      logrus.FieldLogger
	heard    chan string // ids of members that told of a newer revision
}

func newSpreader(store *settings.Store, registry *settings.Registry, members *membership.Service, log logrus.FieldLogger) *spreader {
	created := &spreader{store: store, registry: registry, members: members, log: log, heard: make(chan string, 1)}
	store.Subscribe(func(revision *settings.Revision) {
		log.WithFields(logrus.Fields{"revision": revision.Number, "author": revision.Author}).Info("settings in force")
		members.Announce(revision.Number)
		// Reading a tree of thousands of models takes several times its memory;
		// revisions are rare enough to give that back at once.
		debug.FreeOSMemory()
	})
	members.SetRevisionHandler(func(memberID string, _ uint64) {
		select {
		case created.heard <- memberID:
		default: // one fetch at a time; gossip will tell again
		}
	})
	return created
}

// String names the service in the supervisor's events.
func (s *spreader) String() string { return "settings-spreader" }

// Serve implements suture.Service.
func (s *spreader) Serve(ctx context.Context) error {
	go s.watchWhileChosen(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case memberID := <-s.heard:
			if err := s.fetch(ctx, memberID); err != nil {
				s.log.WithError(err).WithField("member", memberID).Debug("settings not fetched; gossip will tell again")
			}
		}
	}
}

// watchWhileChosen follows the key-value service while this daemon is one of its
// zone's watchers.
func (s *spreader) watchWhileChosen(ctx context.Context) {
	for ctx.Err() == nil {
		if s.members.View().IsSettingsWatcher(watchersPerZone) {
			s.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watcherCheck):
		}
	}
}

func (s *spreader) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && s.members.View().IsSettingsWatcher(watchersPerZone) {
			select {
			case <-ctx.Done():
			case <-time.After(watcherCheck):
			}
		}
	}()
	_ = s.registry.Follow(ctx, s.store, func(err error) { // ends with ctx only
		s.log.WithError(err).Error("accepted settings cannot be read; the earlier revision stays in force")
	})
}

// fetch gets the newest settings of a member.
func (s *spreader) fetch(ctx context.Context, memberID string) error {
	member, known := s.members.View().Member(memberID)
	if !known {
		return errors.New("the member is not known yet")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	connection, err := transport.Dial(ctx, member.RPCAddress)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	answer, err := rpc.NewDRPCSettingsClient(connection).Fetch(ctx, &rpc.FetchSettings{KnownRevision: s.store.Number()})
	if err != nil {
		return errors.Wrap(err, "fetch settings")
	}
	if answer.GetRevision() <= s.store.Number() {
		return nil
	}
	revision, err := settings.Decode(settings.Record{
		Number: answer.GetRevision(), OperationID: answer.GetOperationId(), Author: answer.GetAuthor(),
		AppliedAt: time.UnixMilli(answer.GetAppliedUnixMs()).UTC(), Compressed: answer.GetTree(),
	})
	if err != nil {
		return err
	}
	s.store.Advance(revision)
	return nil
}

// Fetch implements the Settings rpc.
func (s *spreader) Fetch(_ context.Context, ask *rpc.FetchSettings) (*rpc.SettingsRevision, error) {
	current := s.store.Current()
	if current == nil || current.Number <= ask.GetKnownRevision() {
		return &rpc.SettingsRevision{}, nil
	}
	record := settings.Encode(current)
	return &rpc.SettingsRevision{
		Revision: record.Number, OperationId: record.OperationID, Author: record.Author,
		AppliedUnixMs: record.AppliedAt.UnixMilli(), Tree: record.Compressed,
	}, nil
}
