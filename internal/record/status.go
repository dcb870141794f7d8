package record

// Status is where a job stands.
type Status string

// The statuses. Queued and claimed differ only in whether any task may be on a
// machine; cancelling is told to users as cancelled.
const (
	Queued     Status = "queued"
	Claimed    Status = "claimed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Done       Status = "done"
)

// moves is the whole transition table: what is not here cannot happen.
var moves = map[Status][]Status{
	Queued:     {Claimed, Cancelling, Cancelled, Done},
	Claimed:    {Queued, Cancelling, Done},
	Cancelling: {Cancelled},
}

// May tells whether a job may go from one status to another.
func (s Status) May(to Status) bool {
	for _, t := range moves[s] {
		if t == to {
			return true
		}
	}
	return false
}

// Over tells whether nothing more happens to the job.
func (s Status) Over() bool { return s == Cancelled || s == Done }
