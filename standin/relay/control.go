package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// errEndOfStream is the read error of a connection that its peer closed normally.
var errEndOfStream = io.EOF

// Change is the JSON body of the control calls cut, silence, reset and heal.
type Change struct {
	// From and To list endpoints; every pair of them is changed. "*" matches any
	// endpoint.
	From []Endpoint
	To   []Endpoint
	// OneWay limits the change to the direction from From to To.
	OneWay bool
}

// directions returns the directions to which the change applies.
func (change Change) directions() []Direction {
	var directions []Direction
	for _, from := range change.From {
		for _, to := range change.To {
			directions = append(directions, Direction{from, to})
			if !change.OneWay {
				directions = append(directions, Direction{to, from})
			}
		}
	}
	return directions
}

// Handler returns the control interface: POST /v1/routes with a Route, and
// POST /v1/cut, /v1/heal, /v1/silence and /v1/reset with a Change.
func (relay *Relay) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/routes", func(writer http.ResponseWriter, request *http.Request) {
		var route Route
		if !decodeJSON(writer, request, &route) {
			return
		}
		address, err := relay.Add(route)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(writer, map[string]string{"Address": address})
	})
	handle := func(path string, run func(directions []Direction) int) {
		router.Post(path, func(writer http.ResponseWriter, request *http.Request) {
			var change Change
			if decodeJSON(writer, request, &change) {
				writeJSON(writer, map[string]int{"Connections": run(change.directions())})
			}
		})
	}
	handle("/v1/cut", func(directions []Direction) int { relay.Cut(directions); return 0 })
	handle("/v1/heal", func(directions []Direction) int { relay.Heal(directions); return 0 })
	handle("/v1/silence", relay.Silence)
	handle("/v1/reset", relay.Reset)
	return router
}

func decodeJSON(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(writer).Encode(body)
}
