package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/strict"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// maxListBytes is the default bound of the body of a PUT. It is several times the size of lists with
	// 2,000 plans and 15,000 adapters.
	maxListBytes core.Bytes = 32 << 20
	// confirmTimeout bounds the wait for confirmations of the zones after a change was
	// accepted.
	confirmTimeout = time.Second
	// putTimeout bounds the wait for a majority to commit a change.
	putTimeout = 10 * time.Second
	// historyLimit is the maximum number of changes in one response.
	historyLimit = 1000
)

func (handler *Handler) getList(writer http.ResponseWriter, request *http.Request, kind core.ListKind) {
	number, err := configNumberParameter(request, "number")
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	config, found, err := handler.options.Configurations.Config(request.Context(), number)
	switch {
	case err != nil:
		writeJSON(writer, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
	case !found:
		writeJSON(writer, http.StatusNotFound, errorBody{Error: "no configuration has number " + strconv.FormatUint(uint64(number), 10)})
	case kind == core.PlansList:
		writeJSON(writer, http.StatusOK, PlansAnswer{config.Number, config.Hash, config.Plans.Plans})
	default:
		writeJSON(writer, http.StatusOK, GrantsAnswer{config.Number, config.Hash, config.Grants.Grants})
	}
}

// configNumberParameter returns the configuration number in the named query parameter, or
// zero if the parameter is absent or empty.
func configNumberParameter(request *http.Request, name string) (core.ConfigNumber, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%s %q is not a number", name, text)
	}
	return core.ConfigNumber(number), nil
}

func (handler *Handler) putList(writer http.ResponseWriter, request *http.Request, kind core.ListKind) {
	text, free, err := handler.bodies.Read(writer, request, handler.options.MaxList)
	if errors.Is(err, h1.ErrMemory) {
		writeJSON(writer, http.StatusServiceUnavailable, errorBody{Error: "other lists are being read; send the list again"})
		return
	}
	if err != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, errorBody{Error: fmt.Sprintf("the list is larger than %d bytes or was cut off", handler.options.MaxList)})
		return
	}
	defer free()
	put, faults := decodePut(kind, text)
	if len(faults) > 0 {
		writeJSON(writer, http.StatusUnprocessableEntity, Refused{faults})
		return
	}
	put.Operator = operatorFromContext(request.Context())
	ctx, cancel := context.WithTimeout(request.Context(), putTimeout)
	defer cancel()
	result, err := handler.options.Lists.PutList(ctx, put)
	if err != nil {
		handler.options.Logger.Warn("List not accepted.", "list", kind, "operator", put.Operator, "error", err)
		writeJSON(writer, http.StatusServiceUnavailable, errorBody{Error: err.Error(), Uncertain: handler.uncertain(err)})
		return
	}
	handler.writePutResult(request.Context(), writer, put, result)
}

// uncertain reports whether a change may still be accepted after PutList returned err.
func (handler *Handler) uncertain(err error) bool {
	return !slices.ContainsFunc(handler.options.NotAccepted, func(known error) bool { return errors.Is(err, known) })
}

// writePutResult writes the response to a list that the replicated state accepted or
// rejected. After an accepted change it waits up to confirmTimeout for the zones.
func (handler *Handler) writePutResult(ctx context.Context, writer http.ResponseWriter, put ledger.PutList, result ledger.PutListResult) {
	switch {
	case len(result.Faults) > 0:
		writeJSON(writer, http.StatusUnprocessableEntity, Refused{result.Faults})
	case !result.Accepted:
		conflict := Conflict{Number: result.Number, Hash: result.Hash}
		if result.Winner != nil {
			winner := newChange(*result.Winner)
			conflict.Winner = &winner
		}
		writeJSON(writer, http.StatusConflict, conflict)
	default:
		handler.options.Logger.Info("List accepted.", "list", put.Kind, "number", result.Number, "operator", put.Operator)
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		zones := handler.options.Statuses.Unconfirmed(ctx, result.Number)
		if zones == nil {
			zones = []core.ZoneID{}
		}
		writeJSON(writer, http.StatusOK, Accepted{result.Number, result.Hash, zones})
	}
}

// decodePut decodes the body of a PUT and returns every fault found in it. A body without
// the list is a fault, because an empty list would remove every plan or grant.
func decodePut(kind core.ListKind, text []byte) (ledger.PutList, []core.ValidationError) {
	reader := strict.NewReader("", text)
	if kind == core.PlansList {
		var body PutPlans
		reader.Read(&body)
		if body.Plans == nil && len(reader.Faults()) == 0 {
			reader.AddFault("Plans", "missing")
		}
		list := core.Plans{Plans: body.Plans}
		return ledger.PutList{Kind: kind, Replaces: body.Replaces, Plans: &list}, append(convertFaults(reader), core.CheckPlans(list)...)
	}
	var body PutGrants
	reader.Read(&body)
	if body.Grants == nil && len(reader.Faults()) == 0 {
		reader.AddFault("Grants", "missing")
	}
	list := core.Grants{Grants: body.Grants}
	return ledger.PutList{Kind: kind, Replaces: body.Replaces, Grants: &list}, append(convertFaults(reader), core.CheckGrants(list)...)
}

// convertFaults returns the faults of reader in the form of the API. A JSON syntax error is
// located by line and column, any other fault by its key.
func convertFaults(reader *strict.Reader) []core.ValidationError {
	var faults []core.ValidationError
	for _, fault := range reader.Faults() {
		place, reason := fault.Key, fault.Reason
		if place == "" {
			place, reason, _ = strings.Cut(fault.Reason, ": ")
		}
		faults = append(faults, core.ValidationError{Place: place, Reason: reason})
	}
	return faults
}

// getHistory writes up to historyLimit changes, oldest first.
func (handler *Handler) getHistory(writer http.ResponseWriter, request *http.Request) {
	after, err := configNumberParameter(request, "after")
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	changes, err := handler.options.Configurations.History(request.Context(), after, historyLimit)
	if err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	history := History{Changes: make([]Change, 0, len(changes))}
	for _, change := range changes {
		history.Changes = append(history.Changes, newChange(change))
	}
	writeJSON(writer, http.StatusOK, history)
}

func (handler *Handler) getStatus(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, http.StatusOK, handler.options.Statuses.Status(request.Context()))
}

func (handler *Handler) putLogLevel(writer http.ResponseWriter, request *http.Request) {
	text, free, err := handler.bodies.Read(writer, request, 1<<10)
	if err != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, errorBody{Error: "the body is larger than 1 KiB or was cut off"})
		return
	}
	defer free()
	var body Level
	reader := strict.NewReader("", text)
	reader.Read(&body)
	faults := convertFaults(reader)
	if len(faults) == 0 {
		if err := handler.options.Levels.SetLevel(body.Level); err != nil {
			faults = append(faults, core.ValidationError{Place: "Level", Reason: err.Error()})
		}
	}
	if len(faults) > 0 {
		writeJSON(writer, http.StatusUnprocessableEntity, Refused{faults})
		return
	}
	handler.options.Logger.Info("Log level changed.", "level", body.Level, "operator", operatorFromContext(request.Context()))
	writeJSON(writer, http.StatusOK, body)
}
