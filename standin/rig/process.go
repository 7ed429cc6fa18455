package rig

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is a process of the play that is started again whenever it ends, except while it is
// held down.
type process struct {
	name string
	// command returns the command of a start. first is true only for the first one.
	command func(first bool) (*exec.Cmd, error)
	// ended is called when the process ends by itself.
	ended func(name string, err error)
	// restartDelay is the time after which a process that ended by itself starts again.
	restartDelay time.Duration
	// lock guards the fields below; no other lock is acquired while it is held.
	lock    sync.Mutex
	running *exec.Cmd
	exited  chan struct{}
	// down is open while the process is held down, and nil otherwise.
	down chan struct{}
}

// supervise runs the process until the context ends, and kills it then.
func (process *process) supervise(ctx context.Context, log *os.File) error {
	for first := true; ctx.Err() == nil; first = false {
		process.awaitUp(ctx)
		if ctx.Err() != nil {
			return nil
		}
		command, err := process.command(first)
		if err != nil {
			return errors.Wrap(err, "prepare "+process.name)
		}
		command.Stdout, command.Stderr = log, log
		// The processes of a player that is killed end with it.
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := process.start(command); err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { process.signal(syscall.SIGKILL) })
		err = command.Wait()
		stop()
		if process.exit() && ctx.Err() == nil {
			process.ended(process.name, err)
			pause(ctx, process.restartDelay)
		}
	}
	return nil
}

func (process *process) start(command *exec.Cmd) error {
	process.lock.Lock()
	defer process.lock.Unlock()
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start "+process.name)
	}
	process.running, process.exited = command, make(chan struct{})
	return nil
}

// exit notes that the process has ended and reports whether it did so by itself.
func (process *process) exit() bool {
	process.lock.Lock()
	defer process.lock.Unlock()
	process.running = nil
	close(process.exited)
	return process.down == nil
}

// signal sends a signal to the process, if it runs, and returns a channel that is closed when
// the process has ended.
func (process *process) signal(signal syscall.Signal) <-chan struct{} {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.running != nil {
		_ = process.running.Process.Signal(signal)
	}
	return process.exited
}

// hold keeps the process from being started again until lift.
func (process *process) hold() {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.down == nil {
		process.down = make(chan struct{})
	}
}

func (process *process) lift() {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.down != nil {
		close(process.down)
		process.down = nil
	}
}

func (process *process) awaitUp(ctx context.Context) {
	process.lock.Lock()
	down := process.down
	process.lock.Unlock()
	if down == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-down:
	}
}

// kill ends the process for some time.
func (process *process) kill(ctx context.Context, length time.Duration) {
	process.hold()
	defer process.lift()
	<-process.signal(syscall.SIGKILL)
	pause(ctx, length)
}

// freeze suspends the process for some time.
func (process *process) freeze(ctx context.Context, length time.Duration) {
	process.signal(syscall.SIGSTOP)
	pause(ctx, length)
	process.signal(syscall.SIGCONT)
}

// stop ends the process with SIGTERM, and with SIGKILL after the grace time, and keeps it
// down for some time after that.
func (process *process) stop(ctx context.Context, grace, length time.Duration) {
	process.hold()
	defer process.lift()
	exited := process.signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-exited:
	case <-timer.C:
	}
	// Also at the end of a play: the end must not look like one of the process itself.
	<-process.signal(syscall.SIGKILL)
	pause(ctx, length)
}
