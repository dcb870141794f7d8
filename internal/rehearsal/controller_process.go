package rehearsal

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// privateFile is the mode of the files that a rehearsal leaves.
const privateFile = 0o600

// controllerProcess is a controller with its addresses and files, and its process while it runs.
type controllerProcess struct {
	name                       string
	usersAddress, peersAddress string
	settingsFile, logFile      string

	// mu guards the fields below. Signals are sent under it, and nothing is awaited.
	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// start starts a controller's process.
func (c *localCluster) start(controller *controllerProcess) error {
	log, err := os.OpenFile(controller.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFile)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", controller.name, err)
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	process := exec.Command(c.program, c.arguments(controller)...)
	process.Stderr, process.Stdout = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", controller.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait() // it is killed, which Wait reports as an error
		close(ended)
	}()
	controller.mu.Lock()
	controller.process, controller.ended = process, ended
	controller.mu.Unlock()
	return nil
}

// arguments are a controller's command line.
func (c *localCluster) arguments(controller *controllerProcess) []string {
	arguments := []string{"--config", controller.settingsFile}
	if c.features != "" {
		arguments = append(arguments, "--features", c.features)
	}
	if c.operators != "" {
		arguments = append(arguments, "--operators", c.operators)
	}
	return arguments
}

// restart starts a controller that was killed, and records whether that worked.
func (c *localCluster) restart(controller *controllerProcess) {
	why := "started again"
	if err := c.start(controller); err != nil {
		why = "not started again: " + err.Error()
	}
	c.record(Event{Kind: FaultInjected, Where: controller.name, Why: why})
}

// signal sends a signal to the controller's process, if it runs.
func (p *controllerProcess) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Process.Signal(signal) // the process may have ended
	}
}

// kill ends the controller's process without notice, and waits until it is gone.
func (p *controllerProcess) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// pause stops the controller's process where it is, until resume.
func (p *controllerProcess) pause() { p.signal(syscall.SIGSTOP) }

// resume lets a paused controller go on.
func (p *controllerProcess) resume() { p.signal(syscall.SIGCONT) }
