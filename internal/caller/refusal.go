package caller

import (
	"encoding/json"
	"net/http"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// statusByCode maps refusal codes to HTTP statuses. A code that is not listed is answered
// with 503.
var statusByCode = map[core.RefusalCode]int{
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
	core.CodeDeadlineExceeded:  http.StatusGatewayTimeout,
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string           `json:"type"`
	Code    core.RefusalCode `json:"code"`
	Outcome string           `json:"outcome"`
	Message string           `json:"message"`
}

func newErrorBody(end core.End) errorBody {
	return errorBody{Error: errorDetail{Type: "refusal", Code: end.Code, Outcome: end.Outcome.String(), Message: end.Message}}
}

func writeRefusal(writer http.ResponseWriter, refusal *core.Refusal) {
	writeError(writer, core.RefusedEnd("", refusal))
}

// writeError writes an error response. Nothing of the response may have been written
// before.
func writeError(writer http.ResponseWriter, end core.End) {
	status, ok := statusByCode[end.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(newErrorBody(end))
}
