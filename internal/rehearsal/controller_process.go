package rehearsal

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// privateFileMode is the mode of the files that a rehearsal writes.
const privateFileMode = 0o600

// controllerProcess is a controller: its addresses, its files and its operating system process.
type controllerProcess struct {
	name                       string
	clientAddress, peerAddress string
	settingsFile, logFile      string

	// mu guards the fields below. It is held while signals are sent, but not while waiting for an exit.
	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

// start starts a controller's process.
func (c *localCluster) start(controller *controllerProcess) error {
	log, err := os.OpenFile(controller.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
	if err != nil {
		return fmt.Errorf("open log file of controller %s: %w", controller.name, err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	process := exec.Command(c.program, c.arguments(controller)...)
	process.Stderr, process.Stdout = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start process of controller %s: %w", controller.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait() // Wait returns an error because the process is killed
		close(exited)
	}()
	controller.mu.Lock()
	controller.process, controller.exited = process, exited
	controller.mu.Unlock()
	return nil
}

// arguments returns the command-line arguments of a controller.
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

// restart starts a controller that was killed, and records whether that succeeded.
func (c *localCluster) restart(controller *controllerProcess) {
	why := "started again"
	if err := c.start(controller); err != nil {
		why = "not started again: " + err.Error()
	}
	c.record(Event{Kind: FaultInjected, Where: controller.name, Why: why})
}

// signal sends a signal to the controller's process, if it was started.
func (p *controllerProcess) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Process.Signal(signal) // fails if the process has exited
	}
}

// kill sends SIGKILL to the controller's process and waits until it has exited.
func (p *controllerProcess) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// pause suspends the controller's process until resume.
func (p *controllerProcess) pause() { p.signal(syscall.SIGSTOP) }

// resume continues a paused controller process.
func (p *controllerProcess) resume() { p.signal(syscall.SIGCONT) }
