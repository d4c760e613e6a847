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

// Call is one complete request, validated by a caller interface.
type Call struct {
	ID      string
	Route   *routing.Route
	Service *routing.Service
	Target  fleet.Target
	// Prefix identifies the shared prefix of the prompt; empty if there is none.
	Prefix string
	// PromptParts are the parts of the prompt in order; nil if the caller does not state them.
	PromptParts []PromptPart
	// PromptTokens is the length of the prompt; zero if the caller does not state it.
	PromptTokens int
	// OutputTokens is the caller's estimate of the number of generated tokens; zero if it states none.
	OutputTokens int
	// ResumeAfter is the id of the last event that the caller received; empty if none.
	ResumeAfter string
	// ResumedAttempt is the id of the attempt that brought the first event of the stream that the caller resumes; empty if
	// the caller does not name it.
	ResumedAttempt string
	Method         string
	URI            string // path and query as received
	Host           string
	Header         http.Header // without hop-by-hop fields
	Body           []byte
	// Fingerprint identifies the request across all its attempts.
	Fingerprint quarantine.Fingerprint
	Arrived     time.Time
	// Deadline is the earlier of the caller's deadline and the end of the route's time limit.
	Deadline time.Time
	Version  int64 // of the routing table
	// Key is the hash of the caller's key and Tenant its owner; nil on routes that require no key.
	Key    *callers.KeyHash
	Tenant *routing.Tenant
	// Tokens is the prompt length plus the maximum number of generated tokens; zero if the caller does
	// not state them.
	Tokens int
}

// PromptPart is a part of a prompt that other prompts may have too.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedParts returns the parts of the prompt that other prompts may have too: all but the last, which belongs to the
// request itself.
func (c *Call) SharedParts() []PromptPart { return c.PromptParts[:max(0, len(c.PromptParts)-1)] }

// Priority returns the call's priority; 0 is the most urgent.
func (c *Call) Priority() int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return c.Route.Priority
}

// tenant returns the name of the call's tenant; empty without one.
func (c *Call) tenant() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// key returns the key under which the call is recorded as demand.
func (c *Call) key() demand.Key { return demand.Key{Service: c.Service.Name, Target: c.Target} }

// ResponseWriter writes the response to the caller; caller interfaces implement it.
type ResponseWriter interface {
	// WriteHead sends the head of a replica's response. length is that of the complete body, or
	// negative if unknown.
	WriteHead(status int, header http.Header, length int64)
	// Write sends a part of the body. An error means that the caller has disconnected.
	Write(data []byte) error
	// Flush sends buffered data.
	Flush() error
}

// Disposition is what a replica's response implies about the execution of the request.
type Disposition uint8

// Dispositions of a response.
const (
	Executed        Disposition = iota // the request ran, successfully or not
	Rejected                           // the replica did not run the request; a retry may succeed
	WrongReplica                       // the address belongs to another replica, or the target is not loaded
	InvalidResponse                    // the response is not valid
)

// Framing is how a response marks the end of its body.
type Framing uint8

// Framings of a response.
const (
	FramedByLength Framing = iota // the head states the length
	FramedByChunks                // the last chunk ends the body
	// FramedByConnection means that the body ends with its connection, which also closes when the replica stops
	// within the response.
	FramedByConnection
)

// String returns the name used in logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "connection"}[f] }

// Reply is a replica's response; its body is still to be read.
type Reply struct {
	Status      int
	Header      http.Header // without hop-by-hop fields
	Length      int64       // of the body; negative if unknown
	Disposition Disposition
	Framing     Framing
	Body        Body
	// Via is the id of the daemon through which the reply came; empty if it came directly.
	Via string
	// Connection identifies, in logs, the connection to the replica and the exchange on it.
	Connection string
}

// Body is the body of a reply. Read returns io.EOF only after the complete body, except for a body framed by its
// connection: there io.EOF may also mean that the replica stopped within it.
type Body interface {
	Read(data []byte) (int, error)
	Buffered() int // bytes that can be read without blocking
	Close() error  // may be called while Read blocks, which then fails
}

// Dispatch is one attempt to run a call on a replica.
type Dispatch struct {
	Call        *Call
	ReplicaID   string
	Address     string
	Remaining   time.Duration // time until the call's deadline
	ResumeAfter string
	Permit      ReplicaPermit // nil if the replica is not rate-limited
	// TransferFrom is the address of the replica from which this one should get cached prompt tokens; empty if
	// it reads the prompt itself.
	TransferFrom string
	// Admit is called right before the request is written, which must not happen if it returns an error; nil if
	// the dispatch has no condition of its own.
	Admit func() error
}

// Driver implements the protocol of the replicas.
type Driver interface {
	// Send sends a dispatch and returns the head of the response. Errors are of type *SendError. Right
	// before writing, Send asks the dispatch and the fleet directory to admit the request; if that fails, the error
	// wraps a fleet.AdmissionError and its RequestWritten is false.
	Send(ctx context.Context, dispatch Dispatch) (*Reply, error)
}

// SendError is the error of a dispatch without a response.
type SendError struct {
	RequestWritten bool   // the replica may have received the request
	Connection     string // as in Reply; empty if no connection was used
	Cause          error
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *SendError) Unwrap() error { return e.Cause }
