package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// process is an entry or side process that the platform keeps running.
type process struct {
	world *world
	id    string
	role  string
	file  string
	log   *os.File
	// memory is the limit over which the platform kills it, in MiB.
	memory int

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	// overs is the number of times that it was killed for its memory, ends that of the times that it ended by itself.
	overs, ends int
	peak        int64
	stopped     bool
}

// run keeps the process running until stop, and watches its memory.
func (p *process) run() {
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		cmd := exec.Command(p.world.program, "platform", p.role)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.world.folder, "LANG=C", name("config_variable") + "=" + p.file}
		cmd.Stdout, cmd.Stderr = p.log, p.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			p.world.fail("start %s: %v", p.id, err)
			p.mu.Unlock()
			return
		}
		p.cmd, p.started = cmd, time.Now()
		p.mu.Unlock()
		ended := make(chan struct{})
		over := make(chan bool, 1)
		go func() { over <- p.watch(cmd.Process.Pid, ended) }()
		err := cmd.Wait()
		close(ended)
		wasOver := <-over
		p.mu.Lock()
		if !p.stopped {
			p.ends++
			if wasOver {
				p.overs++
			}
			p.world.record.line("process %s has ended by itself: %v, over its memory of %d MiB: %v", p.id, err, p.memory, wasOver)
		}
		p.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// watch kills the process once its memory exceeds the limit, as the platform does, and returns whether it did.
func (p *process) watch(pid int, ended <-chan struct{}) bool {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return false
		case <-ticker.C:
		}
		used := residentBytes(pid)
		p.mu.Lock()
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if used > int64(p.memory)<<20 {
			p.world.record.line("process %s uses %d MiB, its machine has %d: killed", p.id, used>>20, p.memory)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return true
		}
	}
}

// residentBytes returns the private memory of a process: what is resident less what is mapped from files.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

func (p *process) peakMegabytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak >> 20
}

func (p *process) counts() (ends, overs int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends, p.overs
}

// openLog creates the file for the output of a process.
func openLog(folder, id string) (*os.File, error) { return os.Create(filepath.Join(folder, id+".log")) }
