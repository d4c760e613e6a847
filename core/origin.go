package core

import (
	"cmp"
	"context"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/origin"
)

// Origins knows which software version began a stream.
type Origins interface {
	// RecordOrigin records the version that began a stream of this daemon. It does not block.
	RecordOrigin(began origin.Origin)
	// Resolve determines which version began a stream that a caller resumes. It blocks for a short, bounded time.
	Resolve(ctx context.Context, query origin.Query) origin.Resolution
}

// Registry tells what the registry of replicas states now, as opposed to what this daemon has learned of it so far.
type Registry interface {
	// VersionOf returns the software version of a replica. known is false if the registry could not be read, or does not
	// list the replica. It blocks for a short, bounded time.
	VersionOf(ctx context.Context, replica string) (version string, known bool)
}

// Outcomes of a check of a replica's software version, used in metrics.
const (
	versionConfirmed = "confirmed"
	versionChanged   = "changed"
	versionUnknown   = "unknown"
)

// resolveOrigin restricts a stream that its caller resumes to the software version that began it. If that version is
// not known, it returns why the stream cannot go on.
func (c *Core) resolveOrigin(ctx context.Context, state *callState) *failure.Error {
	if c.Origins == nil || state.ResumeAfter == "" || !state.Route.Resumable {
		return nil
	}
	state.origin = c.Origins.Resolve(ctx, origin.Query{
		Attempt: state.ResumedAttempt, Fingerprint: state.Fingerprint, Service: state.Service.Name, Tenant: state.tenant(),
	})
	if !state.origin.Known {
		return failure.New(failure.Unavailable, "send the request without "+lastEventRemedy,
			"it is not known which software version of %s began the stream: %s", state.Service.Name, state.origin.Reason).WithRetryAfter(defaultRetryAfter)
	}
	state.requiredVersion = &state.origin.Version
	return nil
}

// bindVersion restricts a stream to the software version of the replica that sends its first event, and records which
// version that is for callers that come back.
func (c *Core) bindVersion(state *callState) {
	if state.requiredVersion == nil {
		version := state.lastVersion
		state.requiredVersion = &version
	}
	if c.Origins == nil || !state.Route.Resumable {
		return
	}
	attempt := state.ID
	if state.ResumeAfter != "" {
		attempt = cmp.Or(state.ResumedAttempt, state.ID)
	}
	c.Origins.RecordOrigin(origin.Origin{
		Attempt: attempt, Fingerprint: state.Fingerprint, Service: state.Service.Name, Tenant: state.tenant(), Version: *state.requiredVersion,
	})
}

// versionCheck returns the check that a stream's replica still has the software version for which it was chosen, and
// under which the stream's origin would be recorded; nil if the version does not matter.
func (c *Core) versionCheck(state *callState, pick *fleet.Pick) func() error {
	if state.requiredVersion == nil && !state.Route.Resumable {
		return nil
	}
	return func() error { return c.Fleet.AdmitVersion(pick.ID, pick.Version) }
}

// confirmVersion returns fleet.ErrOtherVersion if a stream that goes on must not be sent to its replica, because the
// registry states another software version than this daemon knows. Daemons learn of changes with a delay. If the registry
// cannot be read, the known version counts: streams go on during an outage of the key-value service.
func (c *Core) confirmVersion(ctx context.Context, state *callState, pick *fleet.Pick) error {
	if c.Registry == nil || state.requiredVersion == nil {
		return nil
	}
	version, known := c.Registry.VersionOf(ctx, pick.ID)
	switch {
	case !known:
		c.Metrics.versionChecks.WithLabelValues(versionUnknown).Inc()
	case version != *state.requiredVersion:
		c.Metrics.versionChecks.WithLabelValues(versionChanged).Inc()
		return fleet.ErrOtherVersion
	default:
		c.Metrics.versionChecks.WithLabelValues(versionConfirmed).Inc()
	}
	return nil
}
