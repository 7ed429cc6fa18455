package vm

import (
	"context"

	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// status describes the deployment as this VM sees it.
type status struct {
	vm *vm
}

// Status returns what this VM knows.
func (status status) Status(context.Context) operator.Status {
	book := status.vm.session.Book()
	return operator.Status{
		VM:     status.vm.settings.VM,
		Zone:   status.vm.settings.Zone,
		Number: book.Number(),
		Hash:   book.Hash(),
	}
}

// Unconfirmed returns no zone yet.
func (status status) Unconfirmed(context.Context, core.ConfigNumber) []core.ZoneID { return nil }
