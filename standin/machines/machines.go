// Package machines is a stand-in of the platform's machine list, which lags.
//
//	GET  /machines?region=R  the list as it was one lag ago
//	POST /machines           replaces a machine, or with state "gone" removes it
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

// Gone removes a machine when posted as its state.
const Removed machinelist.State = "gone"

// Faults are the failures that can be switched on.
type Faults struct {
	Outage bool           `json:"outage,omitempty"`
	Lag    fault.Duration `json:"lag,omitempty"`
}

// Entry is one change in the history.
type Entry struct {
	At      time.Time           `json:"at"`
	Machine machinelist.Machine `json:"machine"`
}

// Server is the stand-in.
type Server struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]
	mux     *http.ServeMux
	mutex   sync.Mutex
	changes []Entry
}

// New returns a stand-in that lists machines from the start.
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

// Set records a change of a machine.
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
		http.Error(writer, "a machine needs an id", http.StatusBadRequest)
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
	for _, machine := range s.asOf(time.Now().Add(-time.Duration(faults.Lag))) {
		if region == "" || machine.Region == region {
			list.Machines = append(list.Machines, machine)
		}
	}
	fault.WriteJSON(writer, http.StatusOK, list)
}

func (s *Server) asOf(moment time.Time) []machinelist.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	byID := map[string]machinelist.Machine{}
	for _, change := range s.changes {
		if change.At.After(moment) {
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
