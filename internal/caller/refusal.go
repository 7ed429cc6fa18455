package caller

import (
	"encoding/json"
	"net/http"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// statuses maps refusals to the status of the answer. A code that is missing here is
// answered with 503.
var statuses = map[core.RefusalCode]int{
	core.CodeBadRequest:        http.StatusBadRequest,
	core.CodeKeyRequired:       http.StatusBadRequest,
	core.CodeUnauthorized:      http.StatusUnauthorized,
	core.CodeAdapterNotGranted: http.StatusForbidden,
	core.CodeVersionNotGranted: http.StatusForbidden,
	core.CodeServiceNotGranted: http.StatusForbidden,
	core.CodeInProgress:        http.StatusConflict,
	core.CodeOutcomeUnknown:    http.StatusConflict,
	core.CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	core.CodeKeyReused:         http.StatusUnprocessableEntity,
	core.CodeConvicted:         http.StatusUnprocessableEntity,
	core.CodeRateLimited:       http.StatusTooManyRequests,
	core.CodeOverloaded:        http.StatusTooManyRequests,
	core.CodeUpstreamFailed:    http.StatusBadGateway,
	core.CodeStreamBroken:      http.StatusBadGateway,
	core.CodeDeadline:          http.StatusGatewayTimeout,
}

// errorBody is the error object of the callers' interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string           `json:"type"`
	Code    core.RefusalCode `json:"code"`
	Outcome string           `json:"outcome"`
	Message string           `json:"message"`
}

func errorOf(end core.End) errorBody {
	return errorBody{Error: errorDetail{Type: "refusal", Code: end.Code, Outcome: end.Outcome.String(), Message: end.Message}}
}

func writeRefusal(writer http.ResponseWriter, refusal *core.Refusal) {
	writeEnd(writer, core.EndRefused("", refusal))
}

// writeEnd answers a request of which no byte was passed on.
func writeEnd(writer http.ResponseWriter, end core.End) {
	status, ok := statuses[end.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorOf(end))
}
