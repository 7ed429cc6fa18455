package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// errEnd is the regular end of a direction.
var errEnd = io.EOF

// Change is the body of the control calls cut, silence and heal.
type Change struct {
	// From and To name the ends; "*" stands for any.
	From []End
	To   []End
	// OneWay limits the change to the bytes from From to To.
	OneWay bool
}

// directions returns every direction that the change names.
func (change Change) directions() []Direction {
	var ways []Direction
	for _, from := range change.From {
		for _, to := range change.To {
			ways = append(ways, Direction{from, to})
			if !change.OneWay {
				ways = append(ways, Direction{to, from})
			}
		}
	}
	return ways
}

// Handler returns the control interface: POST /v1/routes with a Route, and
// POST /v1/cut, /v1/heal and /v1/silence with a Change.
func (relay *Relay) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/routes", func(writer http.ResponseWriter, request *http.Request) {
		var route Route
		if !decode(writer, request, &route) {
			return
		}
		address, err := relay.Add(route)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusConflict)
			return
		}
		reply(writer, map[string]string{"Address": address})
	})
	handle := func(path string, run func(ways []Direction) int) {
		router.Post(path, func(writer http.ResponseWriter, request *http.Request) {
			var change Change
			if decode(writer, request, &change) {
				reply(writer, map[string]int{"Connections": run(change.directions())})
			}
		})
	}
	handle("/v1/cut", func(ways []Direction) int { relay.Cut(ways); return 0 })
	handle("/v1/heal", func(ways []Direction) int { relay.Heal(ways); return 0 })
	handle("/v1/silence", relay.Silence)
	return router
}

func decode(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(body)
}
