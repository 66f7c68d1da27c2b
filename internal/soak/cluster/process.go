package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stopTimeout is the time after a request to stop after which a process is killed.
const stopTimeout = 9 * time.Second

var errNotRunning = errors.New("process does not run")

// Process is an entry or side process, which is started again after it has ended. It is safe for concurrent use.
type Process struct {
	Name    string
	program Program
	args    []string
	log     *os.File
	// onExit is called when the process ends by itself.
	onExit func(error)

	// turn is held by the fault that ends the process until it runs again.
	turn sync.Mutex
	runs atomic.Int64

	mu      sync.Mutex
	current *running
}

// running is one run of a process.
type running struct {
	cmd *exec.Cmd
	// ended is closed when the run has ended.
	ended chan struct{}
	// expected is true once the run was asked to end.
	expected atomic.Bool
}

// Run returns the number of times that the process has started.
func (p *Process) Run() int { return int(p.runs.Load()) }

// start starts the process.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program.Path, p.args...)
	cmd.Env = p.program.Env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The process must not outlive this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.runs.Add(1)
	r := &running{cmd: cmd, ended: make(chan struct{})}
	p.current = r
	go func() {
		_ = cmd.Wait()
		close(r.ended)
		if !r.expected.Load() {
			p.onExit(fmt.Errorf("%s has ended by itself: %s", p.Name, cmd.ProcessState))
		}
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	r := p.running()
	if r == nil {
		return errNotRunning
	}
	return r.cmd.Process.Signal(s)
}

func (p *Process) running() *running {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Stopped tells when a process was sent a signal that ends it and when it had ended. On a busy machine sending may take long: it
// began at Signalling and was done at Signalled.
type Stopped struct{ Signalling, Signalled, Ended time.Time }

// end sends a signal that ends the process, and kills it if it still runs after stopTimeout.
func (p *Process) end(s syscall.Signal) Stopped {
	out := Stopped{Signalling: time.Now()}
	r := p.running()
	if r == nil {
		out.Signalled, out.Ended = out.Signalling, out.Signalling
		return out
	}
	r.expected.Store(true)
	_ = r.cmd.Process.Signal(s)
	out.Signalled = time.Now()
	select {
	case <-r.ended:
	case <-time.After(stopTimeout):
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
	out.Ended = time.Now()
	return out
}

// Restart ends the process with a signal, waits for a time and starts it again. It does nothing while the process is being
// restarted already.
func (p *Process) Restart(s syscall.Signal, wait time.Duration) error {
	_, err := p.RestartTimed(s, wait)
	return err
}

// RestartTimed is Restart, and returns when the process has ended, the zero value if it did nothing.
func (p *Process) RestartTimed(s syscall.Signal, wait time.Duration) (Stopped, error) {
	if !p.turn.TryLock() {
		return Stopped{}, nil
	}
	defer p.turn.Unlock()
	out := p.end(s)
	time.Sleep(wait)
	return out, p.start()
}
