package rehearsal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// prepareControllers chooses the addresses of all controllers and writes their settings files.
func (c *localCluster) prepareControllers(count int, stateAddress, cloudAddress string) error {
	for i := range count {
		controller, err := c.newController(fmt.Sprintf("controller-%d", i))
		if err != nil {
			return err
		}
		c.controllers = append(c.controllers, controller)
	}
	for _, controller := range c.controllers {
		settings := c.controllerSettings(controller, stateAddress, cloudAddress)
		if err := os.WriteFile(controller.settingsFile, []byte(settings), privateFileMode); err != nil {
			return fmt.Errorf("write settings file of controller %s: %w", controller.name, err)
		}
	}
	return nil
}

// newController returns a controller that is not running yet, with free addresses.
func (c *localCluster) newController(name string) (*controllerProcess, error) {
	client, err := freeAddress()
	if err != nil {
		return nil, err
	}
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &controllerProcess{name: name, clientAddress: client, peerAddress: peer,
		settingsFile: filepath.Join(c.folder, name+".toml"), logFile: filepath.Join(c.folder, name+".log")}, nil
}

// freeAddress returns a loopback address on which nothing listens at present.
func freeAddress() (string, error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// controllerSettings returns the content of a controller's settings file.
func (c *localCluster) controllerSettings(controller *controllerProcess, stateAddress, cloudAddress string) string {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	writeLine("host_name = %q\narea = \"north\"\nclient_listen = %q\ncluster_listen = %q", controller.name, controller.clientAddress, controller.peerAddress)
	for _, other := range c.controllers {
		if other != controller {
			writeLine("[[others]]\nhost_name = %q\narea = \"north\"\npeer_addr = %q", other.name, other.peerAddress)
		}
	}
	writeLine("[services]\ncloud = %q\nstate = %q", cloudAddress, stateAddress)
	writeLine("[params]\ninitial_size = 0\nzones = [\"north\", \"south\"]\nclock_error_ms = 50.0")
	for _, team := range c.teams {
		writeLine("[[params.teams]]\nname = %q\ncpus = %.3f\ncpus_max = %.3f\ngpus = %.3f\ngpus_max = %.3f",
			team.Name, team.Guarantee, team.Limit, team.GuaranteeAccelerators, team.LimitAccelerators)
	}
	writeLine("[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 10.0\ngang_peer_s = 3.0\ncancel_s = %.1f",
		heartbeatInterval.Seconds(), workerLease.Seconds(), cancelWithin.Seconds())
	writeLine("[params.state]\nrps = 1000.0\nwrite_rps = 300.0\nvalue_kb = 32.0\ntxn_ops = 48")
	writeLine("[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0")
	writeLine("[params.machine_limits]\ncores = 1.0\nram_mb = 256.0\nmax_sockets = 1000")
	return text.String()
}

// writeSharedFile writes a settings file that all controllers share and returns its path. If the
// text is empty, it writes no file, because earlier versions of the program do not support these files.
func (c *localCluster) writeSharedFile(name, text string) (path string, err error) {
	if text == "" {
		return "", nil
	}
	path = filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(text), privateFileMode); err != nil {
		return "", fmt.Errorf("write shared settings file %s: %w", name, err)
	}
	return path, nil
}
