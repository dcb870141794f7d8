package record

import (
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Guards against a page of final records that lacks the wanted job, or begins with an earlier one.
func TestPageAfterBeforeFinalRecordBeginsWithTheJob(t *testing.T) {
	for _, pair := range [][2]ids.Job{
		{"job-000411", "job-000412"}, {"job-000409", "job-000410"}, {"job-000399", "job-000400"}, {"job-1", "job-10"}, {"job-19", "job-2"}, {"job-9", "job-90"},
	} {
		previous, wanted := pair[0], pair[1]
		if after := BeforeFinalRecord(wanted); after <= FinalRecordKey(previous) || after >= FinalRecordKey(wanted) {
			t.Errorf("%q is not between the keys of %s and %s", after, previous, wanted)
		}
	}
}
