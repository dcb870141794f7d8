// Package harness2 runs controllers of pebbletrail as processes on loopback addresses, against stand-ins of the
// state service, the cloud, the workers and the users that behave as the protocol says. A case of the second
// review uses it to cause one disruption and to check one rule by what users, workers and the platform see.
package harness2
