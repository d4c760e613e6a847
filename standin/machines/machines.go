// Package machines simulates the platform's machine list, which may lag behind. GET /machines?region=R returns the
// list as it was one lag ago. POST /machines adds or replaces a machine, or removes it if its state is "gone".
package machines

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// Removed is the state that removes a machine from the list.
const Removed machinelist.State = "gone"

// Faults are the faults that can be injected.
type Faults struct {
	Outage bool `json:"outage,omitempty"`
	// Lag is the age of the list that is returned.
	Lag fault.Duration `json:"lag,omitempty"`
}

// Entry is a change in the history.
type Entry struct {
	At      time.Time           `json:"at"`
	Machine machinelist.Machine `json:"machine"`
}

// Server simulates the machine list over HTTP.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	mux     *http.ServeMux
	mutex   sync.Mutex
	changes []Entry // oldest first
}

// New returns a server that lists the given machines.
func New(machines ...machinelist.Machine) *Server {
	server := &Server{mux: http.NewServeMux()}
	for _, machine := range machines {
		server.changes = append(server.changes, Entry{Machine: machine})
	}
	server.mux.HandleFunc("GET "+machinelist.Path, server.list)
	server.mux.HandleFunc("POST "+machinelist.Path, server.post)
	fault.Register(server.mux, &server.Faults, &server.History)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	s.mux.ServeHTTP(writer, httpRequest)
}

// Set adds or replaces a machine, or removes it if its state is Removed.
func (s *Server) Set(machine machinelist.Machine) {
	entry := Entry{At: time.Now(), Machine: machine}
	s.mutex.Lock()
	s.changes = append(s.changes, entry)
	s.mutex.Unlock()
	s.History.Add(entry)
}

func (s *Server) post(writer http.ResponseWriter, httpRequest *http.Request) {
	var machine machinelist.Machine
	if err := json.NewDecoder(httpRequest.Body).Decode(&machine); err != nil || machine.ID == "" {
		http.Error(writer, "machine without an id", http.StatusBadRequest)
		return
	}
	s.Set(machine)
	fault.WriteJSON(writer, http.StatusOK, machine)
}

func (s *Server) list(writer http.ResponseWriter, httpRequest *http.Request) {
	faults := s.Faults.Get()
	if faults.Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return
	}
	region := httpRequest.URL.Query().Get("region")
	list := machinelist.List{Machines: []machinelist.Machine{}}
	for _, machine := range s.machinesAt(time.Now().Add(-time.Duration(faults.Lag))) {
		if region == "" || machine.Region == region {
			list.Machines = append(list.Machines, machine)
		}
	}
	fault.WriteJSON(writer, http.StatusOK, list)
}

// machinesAt returns the machines that were listed at a point in time, sorted by ID.
func (s *Server) machinesAt(at time.Time) []machinelist.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	byID := map[string]machinelist.Machine{}
	for _, change := range s.changes {
		if change.At.After(at) {
			break
		}
		byID[change.Machine.ID] = change.Machine
	}
	listed := make([]machinelist.Machine, 0, len(byID))
	for _, machine := range byID {
		if machine.State != Removed {
			listed = append(listed, machine)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	return listed
}
