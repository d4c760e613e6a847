package upstream

// UnsolicitedResponse is a response, or the beginning of one, that answers no request that waits on its connection.
type UnsolicitedResponse struct {
	Address    string
	Connection string // as in Response.Connection
	Position   UnsolicitedPosition
	Status     int // zero if its head was not read
}

// UnsolicitedPosition is where an unsolicited response was found.
type UnsolicitedPosition int

const (
	// UnsolicitedBeforeResponse means that it arrived in place of the response to another request, and was skipped.
	UnsolicitedBeforeResponse UnsolicitedPosition = iota
	// UnsolicitedWhileIdle means that it arrived while no request was waiting; the connection was closed.
	UnsolicitedWhileIdle
)

// String returns the name used in logs and metrics.
func (s UnsolicitedPosition) String() string { return [...]string{"before_response", "while_idle"}[s] }

// OnUnsolicited sets the function that is called with each unsolicited response. It must be called before the pool is used.
func (p *Pool) OnUnsolicited(observe func(UnsolicitedResponse)) { p.onUnsolicited = observe }

func (p *Pool) reportUnsolicited(address string, conn *connection, position UnsolicitedPosition, status int) {
	if p.onUnsolicited != nil {
		p.onUnsolicited(UnsolicitedResponse{Address: address, Connection: conn.String(), Position: position, Status: status})
	}
}
