// Package peer implements the calls between controllers, by net/rpc with gob encoding over TCP.
// Controllers exchange health reports (health_exchange.go), confirm takeovers (takeover.go), notify the
// leader of written job records and ask it for explanations (jobs.go) and drain plans (drains.go), and
// transfer unused shares of the state service's rate limit to one another (transfer.go). These calls only
// reduce delays; correctness depends on the state service alone. messages.go declares the messages; their
// names are part of the protocol between controllers of different versions.
package peer
