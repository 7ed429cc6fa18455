package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

var testConfig = core.Config{
	Number: 7,
	Plans: core.Plans{Plans: []core.Plan{
		{Plan: "plan-1", Customer: "customer-1", KeyHashes: []core.KeyHash{"one"}, MaxConfigAgeSeconds: 60},
		{Plan: "plan-2", Customer: "customer-2", KeyHashes: []core.KeyHash{"two"}},
	}},
	Grants: core.Grants{Grants: []core.Grant{{
		Plan:     "plan-1",
		Priority: 5,
		Adapters: []core.AdapterGrant{{Adapter: "alpha", Model: "base", Versions: []core.Version{"1", "2"}}},
		Services: []core.ServiceGrant{{Service: "booking", Repeatable: []string{"GET /slots"}}},
	}}},
}

// TestIndex guards against admitting a request for an adapter, version or service that
// its plan does not allow.
func TestIndex(t *testing.T) {
	datadriven.RunTest(t, "testdata/index", func(t *testing.T, line *datadriven.TestData) string {
		config := testConfig
		if line.HasArg("config") {
			config.Number = 0
		}
		index := NewIndex(config)
		var key string
		var age int
		line.ScanArgs(t, "key", &key)
		line.MaybeScanArgs(t, "age", &age)
		plan, refusal := index.Plan(core.KeyHash(key), time.Duration(age)*time.Second)
		if refusal != nil {
			return refusal.Error()
		}
		return index.runCommand(t, line, plan)
	})
}

func (index *Index) runCommand(t *testing.T, line *datadriven.TestData, plan core.Plan) string {
	t.Helper()
	var admitted Admitted
	var refusal *core.Refusal
	switch line.Cmd {
	case "model":
		var model string
		line.ScanArgs(t, "model", &model)
		wanted, err := core.ParseAdapterVersion(model)
		if err != nil {
			return err.Error()
		}
		admitted, refusal = index.Model(plan, wanted)
	case "service":
		var name, call string
		line.ScanArgs(t, "service", &name)
		line.ScanArgs(t, "call", &call)
		method, path, _ := strings.Cut(call, "/")
		admitted, refusal = index.Service(plan, core.ServiceID(name), method, "/"+path)
	default:
		return string(plan.Plan)
	}
	if refusal != nil {
		return refusal.Error()
	}
	if line.Cmd == "service" {
		return fmt.Sprintf("repeatable=%t", admitted.Repeatable)
	}
	return fmt.Sprintf("%s of %s at configuration %d, priority %d", admitted.Pin.AdapterVersion, admitted.Pin.Model, admitted.Pin.Config, admitted.Priority)
}

// TestLimiter guards against a customer that exceeds its limits, also when the clock is
// set back.
func TestLimiter(t *testing.T) {
	var limiter Limiter
	datadriven.RunTest(t, "testdata/limiter", func(t *testing.T, line *datadriven.TestData) string {
		switch line.Cmd {
		case "reset":
			limiter = Limiter{}
			return ""
		case "leave":
			limiter.Release("c")
			return ""
		}
		var concurrent, at int
		var rate float64
		line.MaybeScanArgs(t, "concurrent", &concurrent)
		line.MaybeScanArgs(t, "rate", &rate)
		line.ScanArgs(t, "at", &at)
		plan := core.Plan{Customer: "c", MaxConcurrent: concurrent, MaxRequestsPerSecond: core.RequestsPerSecond(rate)}
		if refusal := limiter.Acquire(plan, time.Unix(int64(at), 0)); refusal != nil {
			return refusal.Error()
		}
		return "admitted"
	})
}
