// Package intake is the users' interface of a controller. It accepts jobs, reports their
// status, cancels them and explains them, over HTTP. Every controller serves users alike: it
// reads and writes job records in the consensus-backed key-value store itself, whichever
// controller leads. The protocol's names are mapped to the program's terms in messages.go and
// parse.go.
package intake
