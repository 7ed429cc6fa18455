package operator

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/strict"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// maxList is several times the size of lists with 2,000 plans and 15,000 adapters.
	maxList = 32 << 20
	// confirmTimeout bounds the wait for zones after a change was accepted.
	confirmTimeout = time.Second
	// putTimeout bounds the wait for a majority.
	putTimeout = 10 * time.Second
	// historyLimit bounds the changes in one answer.
	historyLimit = 1000
)

func (handler *Handler) getList(writer http.ResponseWriter, request *http.Request, kind core.ListKind) {
	number, err := numberOf(request, "number")
	if err != nil {
		answer(writer, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	config, found, err := handler.parts.Configurations.Config(request.Context(), number)
	switch {
	case err != nil:
		answer(writer, http.StatusServiceUnavailable, failure{Error: err.Error()})
	case !found:
		answer(writer, http.StatusNotFound, failure{Error: "no configuration has number " + strconv.FormatUint(uint64(number), 10)})
	case kind == core.PlansList:
		answer(writer, http.StatusOK, PlansAnswer{config.Number, config.Hash, config.Plans.Plans})
	default:
		answer(writer, http.StatusOK, GrantsAnswer{config.Number, config.Hash, config.Grants.Grants})
	}
}

// numberOf returns a number of the query, or zero if it is left out.
func numberOf(request *http.Request, name string) (core.ConfigNumber, error) {
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
	text, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxList))
	if err != nil {
		answer(writer, http.StatusRequestEntityTooLarge, failure{Error: "the list is larger than 32 MiB or was cut off"})
		return
	}
	put, faults := readPut(kind, text)
	if len(faults) > 0 {
		answer(writer, http.StatusUnprocessableEntity, Refused{faults})
		return
	}
	put.Operator = operatorOf(request.Context())
	ctx, cancel := context.WithTimeout(request.Context(), putTimeout)
	defer cancel()
	result, err := handler.parts.Lists.PutList(ctx, put)
	if err != nil {
		handler.parts.Logger.Warn("List not accepted.", "list", kind, "operator", put.Operator, "error", err)
		answer(writer, http.StatusServiceUnavailable, failure{Error: err.Error(), Uncertain: handler.uncertain(err)})
		return
	}
	handler.answerPut(request.Context(), writer, put, result)
}

// uncertain reports whether a change that failed may still be accepted.
func (handler *Handler) uncertain(err error) bool {
	return !slices.ContainsFunc(handler.parts.NotAccepted, func(known error) bool { return errors.Is(err, known) })
}

func (handler *Handler) answerPut(ctx context.Context, writer http.ResponseWriter, put ledger.PutList, result ledger.PutListResult) {
	switch {
	case len(result.Faults) > 0:
		answer(writer, http.StatusUnprocessableEntity, Refused{result.Faults})
	case !result.Accepted:
		conflict := Conflict{Number: result.Number, Hash: result.Hash}
		if result.Winner != nil {
			winner := changeOf(*result.Winner)
			conflict.Winner = &winner
		}
		answer(writer, http.StatusConflict, conflict)
	default:
		handler.parts.Logger.Info("List accepted.", "list", put.Kind, "number", result.Number, "operator", put.Operator)
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		zones := handler.parts.Statuses.Unconfirmed(ctx, result.Number)
		if zones == nil {
			zones = []core.ZoneID{}
		}
		answer(writer, http.StatusOK, Accepted{result.Number, result.Hash, zones})
	}
}

// readPut reads the body of a PUT and returns every fault of it. A body without the
// list is a fault, since an empty list would take every plan or grant away.
func readPut(kind core.ListKind, text []byte) (ledger.PutList, []core.Fault) {
	reader := strict.NewReader("", text)
	if kind == core.PlansList {
		var body PutPlans
		reader.Read(&body)
		if body.Plans == nil && len(reader.Faults()) == 0 {
			reader.Fault("Plans", "missing")
		}
		list := core.Plans{Plans: body.Plans}
		return ledger.PutList{Kind: kind, Replaces: body.Replaces, Plans: &list}, append(faultsOf(reader), core.CheckPlans(list)...)
	}
	var body PutGrants
	reader.Read(&body)
	if body.Grants == nil && len(reader.Faults()) == 0 {
		reader.Fault("Grants", "missing")
	}
	list := core.Grants{Grants: body.Grants}
	return ledger.PutList{Kind: kind, Replaces: body.Replaces, Grants: &list}, append(faultsOf(reader), core.CheckGrants(list)...)
}

// faultsOf names the place of a text that is not JSON by line and column, and of any
// other fault by its key.
func faultsOf(reader *strict.Reader) []core.Fault {
	var faults []core.Fault
	for _, fault := range reader.Faults() {
		place, reason := fault.Key, fault.Reason
		if place == "" {
			place, reason, _ = strings.Cut(fault.Reason, ": ")
		}
		faults = append(faults, core.Fault{Place: place, Reason: reason})
	}
	return faults
}

func (handler *Handler) history(writer http.ResponseWriter, request *http.Request) {
	after, err := numberOf(request, "after")
	if err != nil {
		answer(writer, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	changes, err := handler.parts.Configurations.History(request.Context(), after, historyLimit)
	if err != nil {
		answer(writer, http.StatusServiceUnavailable, failure{Error: err.Error()})
		return
	}
	history := History{Changes: make([]Change, 0, len(changes))}
	for _, change := range changes {
		history.Changes = append(history.Changes, changeOf(change))
	}
	answer(writer, http.StatusOK, history)
}

func (handler *Handler) status(writer http.ResponseWriter, request *http.Request) {
	answer(writer, http.StatusOK, handler.parts.Statuses.Status(request.Context()))
}

func (handler *Handler) logLevel(writer http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<10))
	if err != nil {
		answer(writer, http.StatusRequestEntityTooLarge, failure{Error: "the body is larger than 1 KiB or was cut off"})
		return
	}
	var body Level
	reader := strict.NewReader("", text)
	reader.Read(&body)
	faults := faultsOf(reader)
	if len(faults) == 0 {
		if err := handler.parts.Levels.SetLevel(body.Level); err != nil {
			faults = append(faults, core.Fault{Place: "Level", Reason: err.Error()})
		}
	}
	if len(faults) > 0 {
		answer(writer, http.StatusUnprocessableEntity, Refused{faults})
		return
	}
	handler.parts.Logger.Info("Log level changed.", "level", body.Level, "operator", operatorOf(request.Context()))
	answer(writer, http.StatusOK, body)
}
