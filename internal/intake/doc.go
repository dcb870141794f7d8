// Package intake implements the HTTP interface of a controller: users submit, poll, cancel and explain jobs,
// and workers send heartbeats. Every controller serves users in the same way, whether or not it leads a
// shard: it reads and writes job records in the consensus-backed key-value store directly. The files
// messages.go and parse.go map the names of the protocol to the terms of the program.
package intake
