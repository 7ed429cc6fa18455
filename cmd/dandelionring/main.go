// Program dandelionring runs an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/vm"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	loaded, err := settings.Load(os.Args[1])
	if err == nil {
		err = vm.Run(ctx, loaded)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dandelionring:", err)
		os.Exit(1)
	}
}
