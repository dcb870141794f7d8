// Package peer connects the controllers with one another, by net/rpc with gob over TCP. They exchange
// health reports (greeting.go), confirm takeovers (takeover.go), tell the leader of written records and
// ask it for explanations (jobs.go) and for plans of drains (drains.go), and pass on unused capacity of
// the state service (transfer.go). All of it only saves time: whatever must be true is in the state
// service. messages.go has the messages, whose names controllers of other versions know.
package peer
