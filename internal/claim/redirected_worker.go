package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// RedirectedWorker is a worker that was sent on to the leader and may not have got there.
type RedirectedWorker struct {
	Machine ids.Machine
	Ago     time.Duration // when it was first sent on
}
