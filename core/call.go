package core

import (
	"context"
	"net/http"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/routing"
)

// Call is one request, read whole and checked by a caller interface.
type Call struct {
	ID      string
	Route   *routing.Route
	Service *routing.Service
	Target  fleet.Target
	// Prefix names the shared part of the prompt; empty if there is none.
	Prefix string
	// PromptTokens is the length of the prompt; zero if the caller does not say.
	PromptTokens int
	// ResumeAfter is the id of the last event that the caller has; empty: none.
	ResumeAfter string
	Method      string
	URI         string // path and query as they came
	Host        string
	Header      http.Header // without those of one connection
	Body        []byte
	// Fingerprint names the request over all its attempts.
	Fingerprint quarantine.Fingerprint
	Arrived     time.Time
	// Deadline is when the caller stops to wait, or the route's time ends.
	Deadline time.Time
	Version  int64 // of the routing table
	// Key is the hash of the caller's key, and Tenant its owner; nil on routes that need
	// none.
	Key    *callers.KeyHash
	Tenant *routing.Tenant
	// Tokens are those of the prompt and the most that may be generated together; zero if
	// the caller does not say.
	Tokens int
}

// Priority returns how urgent the call is; 0 is the most urgent.
func (c *Call) Priority() int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return c.Route.Priority
}

// tenant names the tenant that the call belongs to; empty without one.
func (c *Call) tenant() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// key names what the call needs loaded.
func (c *Call) key() demand.Key { return demand.Key{Service: c.Service.Name, Target: c.Target} }

// Caller is the caller's side of a call, made by a caller interface.
type ResponseWriter interface {
	// Begin sends the head of a replica's answer. length is that of the whole body,
	// or negative.
	WriteHead(status int, header http.Header, length int64)
	// Write sends a part of the body. Its error says that the caller is gone.
	Write(data []byte) error
	// Flush sends what was written on its way.
	Flush() error
}

// Disposition is what a replica's answer says of the request.
type Disposition uint8

// The dispositions.
const (
	Executed        Disposition = iota // it ran, well or not
	Rejected                           // the replica did not run it, for now
	WrongReplica                       // the replica is another, or lacks the target
	InvalidResponse                    // the answer cannot be relied on
)

// Reply is the head of a replica's answer.
type Reply struct {
	Status      int
	Header      http.Header // without those of one connection
	Length      int64       // of the body; negative if not known
	Disposition Disposition
	Body        Body
}

// Body is the body of a reply; io.EOF says that it is whole.
type Body interface {
	Read(data []byte) (int, error)
	Buffered() int // bytes that can be read without waiting
	Close() error
}

// Dispatch is a call on its way to one replica.
type Dispatch struct {
	Call        *Call
	ReplicaID   string
	Address     string
	Remaining   time.Duration // until the call's deadline
	ResumeAfter string
	Permit      ReplicaPermit // nil: none was needed
}

// Driver speaks the replicas' protocol.
type Driver interface {
	// Send sends a dispatch and returns the head of the answer. An error is a
	// *SendError. Right before it writes, it asks the directory whether the replica still takes the
	// request; what that refuses was not written.
	Send(ctx context.Context, dispatch Dispatch) (*Reply, error)
}

// SendError is a dispatch that got no answer.
type SendError struct {
	Written bool // the replica may have read the request
	Cause   error
}

// Error returns the cause.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
