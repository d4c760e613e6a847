package upstream

// SurplusResponse is a response, or the beginning of one, that answers no request that waits on its connection.
type SurplusResponse struct {
	Address    string
	Connection string // as in Response.Connection
	Position   SurplusPosition
	Status     int // zero if its head was not read
}

// SurplusPosition is where a surplus response was found.
type SurplusPosition int

const (
	// SurplusBeforeResponse means that it arrived in place of the response to another request, and was skipped.
	SurplusBeforeResponse SurplusPosition = iota
	// SurplusWhileIdle means that it arrived while no request was waiting; the connection was closed.
	SurplusWhileIdle
)

// String returns the name used in logs and metrics.
func (s SurplusPosition) String() string { return [...]string{"before_response", "while_idle"}[s] }

// OnSurplus sets the function that is called with each surplus response. It must be called before the pool is used.
func (p *Pool) OnSurplus(observe func(SurplusResponse)) { p.onSurplus = observe }

func (p *Pool) reportSurplus(address string, conn *connection, position SurplusPosition, status int) {
	if p.onSurplus != nil {
		p.onSurplus(SurplusResponse{Address: address, Connection: conn.String(), Position: position, Status: status})
	}
}
